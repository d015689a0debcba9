#pragma once

#include "auburndrum/decision/documentparser.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <functional>
#include <limits>
#include <set>

namespace auburndrum::decision {

using Json = nlohmann::ordered_json;

/// One field of a JSON object for type T: its schema and how it is read and written.
template<class T>
struct DocumentField
{
    std::string name;
    bool required = false;
    Json schema;
    std::function<void(const Json &value, const std::string &path, T &object, DocumentErrors &errors)> read;
    std::function<Json(const T &object)> write;
};

template<class T>
using DocumentFields = std::vector<DocumentField<T>>;

/// Describes a value for an error, cut to a readable length.
std::string describe(const Json &value);

/// Adds the error "given VALUE, allowed: ALLOWED".
void addError(DocumentErrors &errors, const std::string &path, const Json &value, std::string_view allowed);

/// Which texts are valid in a field.
struct TextRule
{
    std::string pattern; ///< regular expression for the schema that matches what `accepts` does
    std::string allowed; ///< description of the valid texts for error messages
    std::function<bool(std::string_view)> accepts;
};

TextRule nameRule(); ///< texts for which isDocumentName() is true
TextRule modelRule(); ///< model and adapter names, which may hold '/', ':' and '@'
TextRule pathRule(); ///< an absolute URL path without query, or empty
TextRule keyHashRule(); ///< "SALT:HASH"

/// Returns the rule extended to accept an empty text.
TextRule orEmpty(TextRule rule);

template<class T>
DocumentField<T> required(DocumentField<T> field)
{
    field.required = true;
    return field;
}

template<class T>
DocumentField<T> textField(const std::string &name, std::string T::*member, TextRule rule)
{
    DocumentField<T> field;
    field.name = name;
    field.schema = Json{{"type", "string"}, {"pattern", rule.pattern}};
    field.read = [member, rule = std::move(rule)](const Json &value, const std::string &path, T &object, DocumentErrors &errors) {
        if (!value.is_string() || !rule.accepts(value.get_ref<const std::string &>())) {
            addError(errors, path, value, rule.allowed);
            return;
        }
        object.*member = value.get<std::string>();
    };
    field.write = [member](const T &object) {
        return Json(object.*member);
    };
    return field;
}

/// A field that holds a list of texts without duplicates.
template<class T>
DocumentField<T> textListField(const std::string &name, std::vector<std::string> T::*member, TextRule rule, std::size_t maxItems)
{
    DocumentField<T> field;
    field.name = name;
    field.schema = Json{{"type", "array"}, {"maxItems", maxItems}, {"uniqueItems", true}, {"items", {{"type", "string"}, {"pattern", rule.pattern}}}};
    field.read = [member, maxItems, rule = std::move(rule)](const Json &value, const std::string &path, T &object, DocumentErrors &errors) {
        if (!value.is_array() || value.size() > maxItems) {
            addError(errors, path, value, fmt::format("list of at most {} texts", maxItems));
            return;
        }
        std::set<std::string> seen;
        for (std::size_t n = 0; n < value.size(); ++n) {
            const Json &it = value[n];
            if (!it.is_string() || !rule.accepts(it.get_ref<const std::string &>())) {
                addError(errors, fmt::format("{}/{}", path, n), it, rule.allowed);
                continue;
            }
            if (!seen.insert(it.get<std::string>()).second) {
                errors.push_back({fmt::format("{}/{}", path, n), "listed twice"});
                continue;
            }
            (object.*member).push_back(it.get<std::string>());
        }
    };
    field.write = [member](const T &object) {
        return Json(object.*member);
    };
    return field;
}

template<class T>
DocumentField<T> boolField(const std::string &name, bool T::*member)
{
    DocumentField<T> field;
    field.name = name;
    field.schema = Json{{"type", "boolean"}, {"default", T{}.*member}};
    field.read = [member](const Json &value, const std::string &path, T &object, DocumentErrors &errors) {
        if (!value.is_boolean()) {
            addError(errors, path, value, "true or false");
            return;
        }
        object.*member = value.get<bool>();
    };
    field.write = [member](const T &object) {
        return Json(object.*member);
    };
    return field;
}

/// An integer from @p lowest to @p highest. V is an unsigned integer type or std::chrono::milliseconds.
template<class T, class V>
DocumentField<T> integerField(const std::string &name, V T::*member, std::uint32_t lowest, std::uint32_t highest)
{
    constexpr bool IsDuration = std::is_same_v<V, std::chrono::milliseconds>;
    static_assert(IsDuration || std::is_unsigned_v<V>);
    DocumentField<T> field;
    field.name = name;
    field.write = [member](const T &object) {
        if constexpr (IsDuration) {
            return Json((object.*member).count());
        } else {
            return Json(object.*member);
        }
    };
    field.schema = Json{{"type", "integer"}, {"minimum", lowest}, {"maximum", highest}, {"default", field.write(T{})}};
    field.read = [=](const Json &value, const std::string &path, T &object, DocumentErrors &errors) {
        if (!value.is_number_unsigned() || value.get<std::uint64_t>() < lowest || value.get<std::uint64_t>() > highest) {
            addError(errors, path, value, fmt::format("whole number, {} to {}", lowest, highest));
            return;
        }
        object.*member = V(value.get<std::uint32_t>());
    };
    return field;
}

/// A number between two bounds. @p lowest itself is allowed only if @p includesLowest.
template<class T>
DocumentField<T> numberField(const std::string &name, double T::*member, double lowest, bool includesLowest, double highest)
{
    DocumentField<T> field;
    field.name = name;
    field.schema = Json{{"type", "number"}, {includesLowest ? "minimum" : "exclusiveMinimum", lowest}, {"maximum", highest}, {"default", T{}.*member}};
    field.read = [=](const Json &value, const std::string &path, T &object, DocumentErrors &errors) {
        const double number = value.is_number() ? value.get<double>() : std::numeric_limits<double>::quiet_NaN();
        const bool above = includesLowest ? number >= lowest : number > lowest;
        if (!above || !(number <= highest)) {
            addError(errors, path, value, fmt::format("number {} {}, at most {}", includesLowest ? "from" : "above", lowest, highest));
            return;
        }
        object.*member = number;
    };
    field.write = [member](const T &object) {
        return Json(object.*member);
    };
    return field;
}

/// Reads an object's fields and reports unknown and missing ones. @p ignored may name one more field, which the caller reads.
template<class T>
void readObject(const Json &json, const std::string &path, const DocumentFields<T> &fields, T &object, DocumentErrors &errors, std::string_view ignored = {})
{
    if (!json.is_object()) {
        addError(errors, path, json, "object");
        return;
    }
    std::set<std::string> known;
    for (const DocumentField<T> &it : fields) {
        known.insert(it.name);
        const auto value = json.find(it.name);
        if (value != json.end()) {
            it.read(*value, fmt::format("{}/{}", path, it.name), object, errors);
            continue;
        }
        if (it.required) {
            errors.push_back({fmt::format("{}/{}", path, it.name), "missing"});
        }
    }
    for (const auto &[name, value] : json.items()) {
        if (known.contains(name) || name == ignored) {
            continue;
        }
        errors.push_back({fmt::format("{}/{}", path, name), "unknown field"});
    }
}

template<class T>
Json writeObject(const DocumentFields<T> &fields, const T &object)
{
    Json json = Json::object();
    for (const DocumentField<T> &it : fields) {
        json[it.name] = it.write(object);
    }
    return json;
}

template<class T>
Json objectSchema(const DocumentFields<T> &fields)
{
    Json properties = Json::object();
    Json names = Json::array();
    for (const DocumentField<T> &it : fields) {
        properties[it.name] = it.schema;
        if (it.required) {
            names.push_back(it.name);
        }
    }
    return Json{{"type", "object"}, {"additionalProperties", false}, {"required", std::move(names)}, {"properties", std::move(properties)}};
}

/// A field that holds an object.
template<class T, class V>
DocumentField<T> objectField(const std::string &name, V T::*member, DocumentFields<V> fields)
{
    DocumentField<T> field;
    field.name = name;
    field.schema = objectSchema(fields);
    field.read = [member, fields](const Json &value, const std::string &path, T &object, DocumentErrors &errors) {
        readObject(value, path, fields, object.*member, errors);
    };
    field.write = [member, fields](const T &object) {
        return writeObject(fields, object.*member);
    };
    return field;
}

/// A field that holds a list of objects.
template<class T, class V>
DocumentField<T> objectListField(const std::string &name, std::vector<V> T::*member, DocumentFields<V> fields, std::size_t maxItems)
{
    DocumentField<T> field;
    field.name = name;
    field.schema = Json{{"type", "array"}, {"maxItems", maxItems}, {"items", objectSchema(fields)}};
    field.read = [member, fields, maxItems](const Json &value, const std::string &path, T &object, DocumentErrors &errors) {
        if (!value.is_array() || value.size() > maxItems) {
            addError(errors, path, value, fmt::format("list of at most {} objects", maxItems));
            return;
        }
        for (std::size_t n = 0; n < value.size(); ++n) {
            V item;
            readObject(value[n], fmt::format("{}/{}", path, n), fields, item, errors);
            (object.*member).push_back(std::move(item));
        }
    };
    field.write = [member, fields](const T &object) {
        Json list = Json::array();
        for (const V &it : object.*member) {
            list.push_back(writeObject(fields, it));
        }
        return list;
    };
    return field;
}

} // namespace auburndrum::decision
