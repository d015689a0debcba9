#pragma once

#include "documentfield.h"

namespace auburndrum::decision {

/// Return the fields of each kind of document except "document", which names the kind.
const DocumentFields<ServiceDocument> &serviceFields();
const DocumentFields<OrganisationDocument> &organisationFields();
const DocumentFields<TeamDocument> &teamFields();

/// Checks the rules that involve more than one field.
void checkFieldCombinations(const ServiceDocument &document, DocumentErrors &errors);

} // namespace auburndrum::decision
