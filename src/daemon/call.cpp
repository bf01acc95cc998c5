#include "daemon/call.hpp"

#include <utility>

namespace anisehold::daemon {

net::HttpRequest forwarded_request(Call& call) {
    net::HttpRequest request;
    request.method = call.request->method;
    request.target = call.request->target;
    request.fields = call.request->fields;
    request.body.length = call.request->body.length;
    if (call.request->body.whole()) {
        request.body.prefix = call.request->body.prefix;
        return request;
    }
    request.body.prefix = std::move(call.request->body.prefix);
    request.body.rest = std::move(call.request->body.rest);
    return request;
}

}  // namespace anisehold::daemon
