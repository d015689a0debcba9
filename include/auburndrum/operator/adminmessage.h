#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace auburndrum::operators {

/// One request to the administration API, independent of the transport.
struct AdminRequest
{
    std::string method;
    std::string path; ///< decoded, without query
    std::map<std::string, std::string, std::less<>> query;
    std::string authorization; ///< value of the Authorization header
    std::string operatorName; ///< value of the X-Operator header: the person of the team, for the audit record; may be empty
    std::string body;
};

/// Response to an AdminRequest. The body is always JSON.
struct AdminResponse
{
    int status = 200;
    std::string body;
};

/// Receives the response. Called once, immediately or later.
using AdminReply = std::function<void(const AdminResponse &)>;

/// Returns an error in the same JSON form as the callers' API. @p param names the invalid field, or is empty.
AdminResponse adminError(int status, std::string_view code, std::string_view message, std::string_view param = {});

} // namespace auburndrum::operators
