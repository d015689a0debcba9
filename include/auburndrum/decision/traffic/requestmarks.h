#pragma once

#include "auburndrum/decision/traffic/prompt.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace auburndrum::decision {

/// What a request may crash its server by: the parts of its prompt, the prompt's last part, and the request as a whole.
using RequestMarks = std::vector<std::string>;

/// The marks of a prompt: the parts that other requests may share, and its last part, which only repetitions share. Empty without a prompt.
RequestMarks marksOf(const Prompt *prompt);

/// How many different requests have a mark, as far as its kind tells: the whole request is the narrowest. For the choice between marks that explain the same.
enum class MarkKind : std::uint8_t {
    SharedPart,
    LastPart,
    WholeRequest,
};

MarkKind kindOf(std::string_view mark);

/// @brief Identifies a request that comes again: its method, host, target, caller and body. The body may arrive in parts.
class RequestFingerprint
{
public:
    /// @param caller the organisation, or the API key where organisations are not known
    RequestFingerprint(std::string_view method, std::string_view host, std::string_view target, std::string_view caller);

    void addBody(std::string_view bytes);
    /// The mark of the request with the body so far.
    std::string mark() const;
    /// The beginning of the marks of all requests that differ from this one in their bodies only.
    const std::string &scope() const
    {
        return m_scope;
    }

private:
    struct Hash;

    std::string m_scope;
    std::shared_ptr<Hash> m_body; ///< shared, since the type is complete only where it is used
};

} // namespace auburndrum::decision
