#pragma once

#include "auburndrum/base/errors.h"
#include "auburndrum/decision/servicedocument.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace auburndrum::decision {

/// Kind of a document that operators publish.
enum class DocumentKind {
    Service,
    Organisation,
    Team,
};

/// Returns "service", "organisation" or "team".
std::string_view toText(DocumentKind kind);

/// Returns the kind with this name, or nothing if there is none.
std::optional<DocumentKind> parseDocumentKind(std::string_view text);

/// An error at one place of a document.
struct DocumentError
{
    std::string path; ///< JSON pointer such as "/organisations/0/share", or "line L, column C" if the text isn't JSON
    std::string reason; ///< such as "given 0, allowed: number above 0, at most 1000"

    bool operator==(const DocumentError &) const = default;
};

using DocumentErrors = std::vector<DocumentError>;

/// Returns "PATH: REASON".
std::string toText(const DocumentError &error);

using AnyDocument = std::variant<ServiceDocument, OrganisationDocument, TeamDocument>;

/// Parses a document of the kind that its "document" field names. Returns all errors at once; unknown fields and duplicates are errors.
Result<AnyDocument, DocumentErrors> parseDocument(std::string_view json);

/// Parses a document that must be of one kind.
Result<ServiceDocument, DocumentErrors> parseServiceDocument(std::string_view json);
Result<OrganisationDocument, DocumentErrors> parseOrganisationDocument(std::string_view json);
Result<TeamDocument, DocumentErrors> parseTeamDocument(std::string_view json);

/// Returns the document as JSON that the parsers accept, with every field.
std::string toJson(const AnyDocument &document);

DocumentKind kindOf(const AnyDocument &document);
std::string nameOf(const AnyDocument &document);

/// Returns the key of a document in the log, such as "service/menu-assistant".
std::string documentKey(DocumentKind kind, std::string_view name);

/// Returns whether the text is a valid name of a document, a team or an organisation: 1 to 64 letters, digits, '_' or '-'.
///
/// '.' is not allowed, since it ends the name in an API key.
bool isDocumentName(std::string_view text);

/// Returns the JSON schema of all kinds of documents, published as docs/service-document.schema.json.
std::string documentSchema();

} // namespace auburndrum::decision
