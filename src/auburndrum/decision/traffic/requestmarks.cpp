#include "auburndrum/decision/traffic/requestmarks.h"

#include <absl/strings/str_cat.h>
#include <xxhash.h>

namespace auburndrum::decision {

namespace {

// Ids of prompt parts have no colon.
constexpr std::string_view RequestPrefix = "request:";
constexpr std::string_view LastPartPrefix = "last:";

} // namespace

RequestMarks marksOf(const Prompt *prompt)
{
    RequestMarks marks;
    if (prompt == nullptr || prompt->parts.empty()) {
        return marks;
    }
    for (std::size_t n = 0; n + 1 < prompt->parts.size(); ++n) {
        marks.push_back(prompt->parts[n].id);
    }
    marks.push_back(std::string(LastPartPrefix) + prompt->parts.back().id);
    return marks;
}

MarkKind kindOf(std::string_view mark)
{
    return mark.starts_with(RequestPrefix) ? MarkKind::WholeRequest : mark.starts_with(LastPartPrefix) ? MarkKind::LastPart : MarkKind::SharedPart;
}

/// A hash of bytes that arrive in parts.
struct RequestFingerprint::Hash
{
    Hash()
        : state(XXH64_createState(), XXH64_freeState)
    {
        XXH64_reset(state.get(), 0);
    }

    void add(std::string_view bytes) const
    {
        XXH64_update(state.get(), bytes.data(), bytes.size());
    }

    std::string text() const
    {
        return absl::StrCat(absl::Hex(XXH64_digest(state.get()), absl::kZeroPad16));
    }

    std::unique_ptr<XXH64_state_t, XXH_errorcode (*)(XXH64_state_t *)> state;
};

RequestFingerprint::RequestFingerprint(std::string_view method, std::string_view host, std::string_view target, std::string_view caller)
    : m_body(std::make_shared<Hash>())
{
    const Hash scope;
    for (const std::string_view it : {method, host, target, caller}) {
        scope.add(std::to_string(it.size()) + ':'); // so that no two lists of fields have the same bytes
        scope.add(it);
    }
    m_scope = std::string(RequestPrefix) + scope.text() + ':';
}

void RequestFingerprint::addBody(std::string_view bytes)
{
    m_body->add(bytes);
}

std::string RequestFingerprint::mark() const
{
    return m_scope + m_body->text();
}

} // namespace auburndrum::decision
