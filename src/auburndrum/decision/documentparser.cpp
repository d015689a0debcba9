#include "auburndrum/decision/documentparser.h"

#include "documentfields.h"

#include <algorithm>
#include <array>

namespace auburndrum::decision {

namespace {

constexpr const char *KindField = "document";
constexpr int IndentColumns = 2;
constexpr int MaxNesting = 16;

struct KindName
{
    DocumentKind kind;
    std::string_view text;
};

constexpr std::array KindNames{
    KindName{DocumentKind::Service, "service"},
    KindName{DocumentKind::Organisation, "organisation"},
    KindName{DocumentKind::Team, "team"},
};

std::string lineAndColumn(std::string_view json, std::size_t byte)
{
    const std::string_view before = json.substr(0, byte > 0 ? byte - 1 : 0);
    const auto line = 1 + std::count(before.begin(), before.end(), '\n');
    const std::size_t lineStart = before.rfind('\n') + 1;
    return fmt::format("line {}, column {}", line, before.size() - lineStart + 1);
}

/// Parser callback that detects names given twice in one object, of which the JSON library keeps only the last, and nesting too deep for a document.
class StructureCheck
{
public:
    bool operator()(int depth, Json::parse_event_t event, Json &parsed)
    {
        m_tooDeep = m_tooDeep || depth > MaxNesting;
        if (event == Json::parse_event_t::object_start) {
            m_names.emplace_back();
        }
        if (event == Json::parse_event_t::object_end) {
            m_names.pop_back();
        }
        if (event == Json::parse_event_t::key && !m_names.back().insert(parsed.get<std::string>()).second) {
            m_duplicates.push_back(parsed.get<std::string>());
        }
        return true;
    }

    void report(DocumentErrors &errors) const
    {
        for (const std::string &it : m_duplicates) {
            errors.push_back({"/", fmt::format("field \"{}\" is given twice in one object", it)});
        }
        if (m_tooDeep) {
            errors.push_back({"/", fmt::format("nested more than {} levels deep", MaxNesting)});
        }
    }

private:
    std::vector<std::set<std::string>> m_names;
    std::vector<std::string> m_duplicates;
    bool m_tooDeep = false;
};

/// Returns the parsed object, or nothing after adding the errors.
std::optional<Json> parseJson(std::string_view text, DocumentErrors &errors)
{
    StructureCheck structure;
    Json json;
    try {
        json = Json::parse(text, std::ref(structure));
    } catch (const Json::parse_error &error) {
        errors.push_back({lineAndColumn(text, error.byte), "not JSON here"});
        return std::nullopt;
    }
    structure.report(errors);
    if (!json.is_object()) {
        addError(errors, "/", json, "object");
    }
    if (!errors.empty()) {
        return std::nullopt;
    }
    return json;
}

std::optional<DocumentKind> readKind(const Json &json, DocumentErrors &errors)
{
    const auto it = json.find(KindField);
    if (it == json.end()) {
        errors.push_back({"/document", "missing; allowed: \"service\", \"organisation\" or \"team\""});
        return std::nullopt;
    }
    const auto kind = it->is_string() ? parseDocumentKind(it->get_ref<const std::string &>()) : std::nullopt;
    if (!kind) {
        addError(errors, "/document", *it, "\"service\", \"organisation\" or \"team\"");
    }
    return kind;
}

template<class T>
T readDocument(const Json &json, const DocumentFields<T> &fields, DocumentErrors &errors)
{
    T document;
    readObject(json, "", fields, document, errors, KindField);
    if constexpr (std::is_same_v<T, ServiceDocument>) {
        checkFieldCombinations(document, errors);
    }
    return document;
}

AnyDocument readDocumentOfKind(const Json &json, DocumentKind kind, DocumentErrors &errors)
{
    switch (kind) {
    case DocumentKind::Service:
        return readDocument(json, serviceFields(), errors);
    case DocumentKind::Organisation:
        return readDocument(json, organisationFields(), errors);
    case DocumentKind::Team:
        break;
    }
    return readDocument(json, teamFields(), errors);
}

template<class T>
Result<T, DocumentErrors> parseDocumentOfKind(std::string_view json, DocumentKind expected)
{
    auto document = parseDocument(json);
    if (!document.has_value()) {
        return failure(std::move(document.error()));
    }
    if (T *parsed = std::get_if<T>(&document.value())) {
        return std::move(*parsed);
    }
    return failure(DocumentErrors{{"/document", fmt::format("given \"{}\", allowed: \"{}\"", toText(kindOf(document.value())), toText(expected))}});
}

template<class T>
Json writeDocument(DocumentKind kind, const DocumentFields<T> &fields, const T &document)
{
    Json json{{KindField, toText(kind)}};
    json.update(writeObject(fields, document));
    return json;
}

template<class T>
Json kindSchema(DocumentKind kind, const DocumentFields<T> &fields)
{
    Json schema = objectSchema(fields);
    schema["properties"][KindField] = Json{{"const", toText(kind)}};
    schema["required"].push_back(KindField);
    return schema;
}

} // namespace

std::string_view toText(DocumentKind kind)
{
    return KindNames[static_cast<std::size_t>(kind)].text;
}

std::optional<DocumentKind> parseDocumentKind(std::string_view text)
{
    for (const KindName &it : KindNames) {
        if (it.text == text) {
            return it.kind;
        }
    }
    return std::nullopt;
}

std::string toText(const DocumentError &error)
{
    return fmt::format("{}: {}", error.path, error.reason);
}

Result<AnyDocument, DocumentErrors> parseDocument(std::string_view json)
{
    DocumentErrors errors;
    const std::optional<Json> root = parseJson(json, errors);
    const std::optional<DocumentKind> kind = root ? readKind(*root, errors) : std::nullopt;
    if (!kind) {
        return failure(std::move(errors));
    }
    AnyDocument document = readDocumentOfKind(*root, *kind, errors);
    if (!errors.empty()) {
        return failure(std::move(errors));
    }
    return document;
}

Result<ServiceDocument, DocumentErrors> parseServiceDocument(std::string_view json)
{
    return parseDocumentOfKind<ServiceDocument>(json, DocumentKind::Service);
}

Result<OrganisationDocument, DocumentErrors> parseOrganisationDocument(std::string_view json)
{
    return parseDocumentOfKind<OrganisationDocument>(json, DocumentKind::Organisation);
}

Result<TeamDocument, DocumentErrors> parseTeamDocument(std::string_view json)
{
    return parseDocumentOfKind<TeamDocument>(json, DocumentKind::Team);
}

std::string toJson(const AnyDocument &document)
{
    Json json;
    if (const auto *service = std::get_if<ServiceDocument>(&document)) {
        json = writeDocument(DocumentKind::Service, serviceFields(), *service);
    }
    if (const auto *organisation = std::get_if<OrganisationDocument>(&document)) {
        json = writeDocument(DocumentKind::Organisation, organisationFields(), *organisation);
    }
    if (const auto *team = std::get_if<TeamDocument>(&document)) {
        json = writeDocument(DocumentKind::Team, teamFields(), *team);
    }
    return json.dump(IndentColumns) + "\n";
}

DocumentKind kindOf(const AnyDocument &document)
{
    static_assert(std::is_same_v<AnyDocument, std::variant<ServiceDocument, OrganisationDocument, TeamDocument>>,
                  "alternatives have to be in the order of DocumentKind");
    return static_cast<DocumentKind>(document.index());
}

std::string nameOf(const AnyDocument &document)
{
    return std::visit(
        [](const auto &it) {
            return it.name;
        },
        document);
}

std::string documentKey(DocumentKind kind, std::string_view name)
{
    return fmt::format("{}/{}", toText(kind), name);
}

std::string documentSchema()
{
    const Json schema{
        {"$schema", "https://json-schema.org/draft/2020-12/schema"},
        {"title", "auburndrum document"},
        {"oneOf",
         Json::array({kindSchema(DocumentKind::Service, serviceFields()),
                      kindSchema(DocumentKind::Organisation, organisationFields()),
                      kindSchema(DocumentKind::Team, teamFields())})},
    };
    return schema.dump(IndentColumns) + "\n";
}

} // namespace auburndrum::decision
