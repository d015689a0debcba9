#pragma once

#include "auburndrum/base/errors.h"
#include "auburndrum/decision/servicedocument.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace auburndrum::decision {

/// What a document describes.
enum class DocumentKind {
    Service,
    Organisation,
    Team,
};

/// "service", "organisation" or "team".
std::string_view toText(DocumentKind kind);

/// The kind with this name, nothing when unknown.
std::optional<DocumentKind> parseDocumentKind(std::string_view text);

/// What is wrong at one place of a document.
struct DocumentError
{
    std::string path; ///< JSON pointer such as "/organisations/0/share"; "line L, column C" when the text isn't JSON
    std::string reason; ///< what was given and what is allowed

    bool operator==(const DocumentError &) const = default;
};

using DocumentErrors = std::vector<DocumentError>;

/// Writes one fault as a line.
std::string toText(const DocumentError &fault);

using AnyDocument = std::variant<ServiceDocument, OrganisationDocument, TeamDocument>;

/// Reads a document of any kind, as its "document" field says. Returns all faults at once; unknown fields and duplicates are faults.
Result<AnyDocument, DocumentErrors> parseDocument(std::string_view json);

/// Reads a document that must be of one kind.
Result<ServiceDocument, DocumentErrors> parseServiceDocument(std::string_view json);
Result<OrganisationDocument, DocumentErrors> parseOrganisationDocument(std::string_view json);
Result<TeamDocument, DocumentErrors> parseTeamDocument(std::string_view json);

/// Writes a document with every field, the form that the parsers read.
std::string toJson(const AnyDocument &document);

DocumentKind kindOf(const AnyDocument &document);
std::string nameOf(const AnyDocument &document);

/// Name of a document in the log, such as "service/menu-assistant".
std::string documentKey(DocumentKind kind, std::string_view name);

/// Whether the text may name a document, a team or an organisation: 1 to 64 letters, digits, '_' or '-'. No '.', which ends the name in an API key.
bool isDocumentName(std::string_view text);

/// JSON schema of all kinds of documents, published as docs/service-document.schema.json.
std::string documentSchema();

} // namespace auburndrum::decision
