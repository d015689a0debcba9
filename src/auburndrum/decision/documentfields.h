#pragma once

#include "documentfield.h"

namespace auburndrum::decision {

/// Fields of each kind of document, without the "document" field that names the kind.
const DocumentFields<ServiceDocument> &serviceFields();
const DocumentFields<OrganisationDocument> &organisationFields();
const DocumentFields<TeamDocument> &teamFields();

/// Checks what no field can see alone.
void checkTogether(const ServiceDocument &document, DocumentErrors &faults);

} // namespace auburndrum::decision
