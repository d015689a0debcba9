#pragma once

#include "auburndrum/caller/apierror.h"

#include <boost/outcome.hpp>

#include <string>
#include <string_view>

namespace auburndrum::caller {

/// Which of OpenAI's two completion endpoints was called.
enum class CompletionKind {
    Text, ///< /v1/completions
    Chat, ///< /v1/chat/completions
};

/// The fields of a completion's body that auburndrum reads. The body itself is forwarded unchanged.
struct CompletionRequest
{
    std::string model;
    std::string prompt; ///< complete text that the engine prefills
    bool stream = false;
    std::uint32_t maxTokens = 0; ///< 0 if the body sets no limit
};

template<typename T>
using ApiResult = BOOST_OUTCOME_V2_NAMESPACE::basic_result<T, ApiError, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

/// Parses and validates a body. An error names the invalid field.
ApiResult<CompletionRequest> parseCompletion(CompletionKind kind, std::string_view body);

} // namespace auburndrum::caller
