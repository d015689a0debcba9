#pragma once

#include "auburndrum/caller/apierror.h"

#include <boost/outcome.hpp>

#include <string>
#include <string_view>

namespace auburndrum::caller {

/// Which of OpenAI's two calls a body belongs to.
enum class CompletionKind {
    Text, ///< /v1/completions
    Chat, ///< /v1/chat/completions
};

/// What auburndrum reads from a completion's body. The body itself goes on unchanged.
struct CompletionRequest
{
    std::string model;
    std::string prompt; ///< all that the engine computes before the first token
    bool stream = false;
    std::uint32_t maxTokens = 0; ///< 0: not given
};

template<typename T>
using ApiResult = BOOST_OUTCOME_V2_NAMESPACE::basic_result<T, ApiError, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

/// Reads and checks a body. An error names the field.
ApiResult<CompletionRequest> parseCompletion(CompletionKind kind, std::string_view body);

} // namespace auburndrum::caller
