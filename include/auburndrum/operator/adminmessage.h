#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace auburndrum::operators {

/// One request to the administration API, free of the transport.
struct AdminRequest
{
    std::string method;
    std::string path; ///< decoded, without query
    std::map<std::string, std::string, std::less<>> query;
    std::string authorization; ///< value of the Authorization header
    std::string person; ///< value of X-Operator: who of the team, for the audit record; may be empty
    std::string body;
};

/// Its answer. The body is always JSON.
struct AdminResponse
{
    int status = 200;
    std::string body;
};

/// Takes the answer, once, now or later.
using AdminReply = std::function<void(const AdminResponse &)>;

/// An error body in the form of the callers' API. `param` names the field at fault, or is empty.
AdminResponse adminError(int status, std::string_view code, std::string_view message, std::string_view param = {});

} // namespace auburndrum::operators
