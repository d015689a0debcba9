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

std::string placeOf(std::string_view json, std::size_t byte)
{
    const std::string_view before = json.substr(0, byte > 0 ? byte - 1 : 0);
    const auto line = 1 + std::count(before.begin(), before.end(), '\n');
    const std::size_t lineStart = before.rfind('\n') + 1;
    return fmt::format("line {}, column {}", line, before.size() - lineStart + 1);
}

/// Notices names given twice in one object, of which the JSON library keeps only the last, and nesting too deep to be a document.
class ShapeCheck
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

    void report(DocumentErrors &faults) const
    {
        for (const std::string &it : m_duplicates) {
            faults.push_back({"/", fmt::format("field \"{}\" is given twice in one object", it)});
        }
        if (m_tooDeep) {
            faults.push_back({"/", fmt::format("nested more than {} levels deep", MaxNesting)});
        }
    }

private:
    std::vector<std::set<std::string>> m_names;
    std::vector<std::string> m_duplicates;
    bool m_tooDeep = false;
};

/// The parsed text, or nothing with a fault added.
std::optional<Json> parseJson(std::string_view text, DocumentErrors &faults)
{
    ShapeCheck shape;
    Json json;
    try {
        json = Json::parse(text, std::ref(shape));
    } catch (const Json::parse_error &error) {
        faults.push_back({placeOf(text, error.byte), "not JSON here"});
        return std::nullopt;
    }
    shape.report(faults);
    if (!json.is_object()) {
        addFault(faults, "/", json, "object");
    }
    if (!faults.empty()) {
        return std::nullopt;
    }
    return json;
}

std::optional<DocumentKind> readKind(const Json &json, DocumentErrors &faults)
{
    const auto it = json.find(KindField);
    if (it == json.end()) {
        faults.push_back({"/document", "missing; allowed: \"service\", \"organisation\" or \"team\""});
        return std::nullopt;
    }
    const auto kind = it->is_string() ? parseDocumentKind(it->get_ref<const std::string &>()) : std::nullopt;
    if (!kind) {
        addFault(faults, "/document", *it, "\"service\", \"organisation\" or \"team\"");
    }
    return kind;
}

template<class T>
T readDocument(const Json &json, const DocumentFields<T> &fields, DocumentErrors &faults)
{
    T document;
    readObject(json, "", fields, document, faults, KindField);
    if constexpr (std::is_same_v<T, ServiceDocument>) {
        checkTogether(document, faults);
    }
    return document;
}

AnyDocument readKnownKind(const Json &json, DocumentKind kind, DocumentErrors &faults)
{
    switch (kind) {
    case DocumentKind::Service:
        return readDocument(json, serviceFields(), faults);
    case DocumentKind::Organisation:
        return readDocument(json, organisationFields(), faults);
    case DocumentKind::Team:
        break;
    }
    return readDocument(json, teamFields(), faults);
}

template<class T>
Result<T, DocumentErrors> parseOnly(std::string_view json, DocumentKind wanted)
{
    auto document = parseDocument(json);
    if (!document.has_value()) {
        return failure(std::move(document.error()));
    }
    if (T *found = std::get_if<T>(&document.value())) {
        return std::move(*found);
    }
    return failure(DocumentErrors{{"/document", fmt::format("given \"{}\", allowed: \"{}\"", toText(kindOf(document.value())), toText(wanted))}});
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

std::string toText(const DocumentError &fault)
{
    return fmt::format("{}: {}", fault.path, fault.reason);
}

Result<AnyDocument, DocumentErrors> parseDocument(std::string_view json)
{
    DocumentErrors faults;
    const std::optional<Json> root = parseJson(json, faults);
    const std::optional<DocumentKind> kind = root ? readKind(*root, faults) : std::nullopt;
    if (!kind) {
        return failure(std::move(faults));
    }
    AnyDocument document = readKnownKind(*root, *kind, faults);
    if (!faults.empty()) {
        return failure(std::move(faults));
    }
    return document;
}

Result<ServiceDocument, DocumentErrors> parseServiceDocument(std::string_view json)
{
    return parseOnly<ServiceDocument>(json, DocumentKind::Service);
}

Result<OrganisationDocument, DocumentErrors> parseOrganisationDocument(std::string_view json)
{
    return parseOnly<OrganisationDocument>(json, DocumentKind::Organisation);
}

Result<TeamDocument, DocumentErrors> parseTeamDocument(std::string_view json)
{
    return parseOnly<TeamDocument>(json, DocumentKind::Team);
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
    static_assert(std::is_same_v<AnyDocument, std::variant<ServiceDocument, OrganisationDocument, TeamDocument>>, "in the order of DocumentKind");
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
