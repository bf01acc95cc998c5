#include "lab/machines.hpp"

#include "lab/control.hpp"

namespace anisehold::lab {

using nlohmann::json;

Machines::Machines(boost::asio::io_context& io)
    : server_(io, {},
              {[this](net::HttpRequest& request, net::CancelSignal& /*cancel*/) { return handle(request); },
               [](ErrorKind) {
                   return json_answer(400, {{"error", "bad request"}});
               }}) {}

std::error_code Machines::start(const Endpoint& endpoint) {
    return server_.start(endpoint);
}

net::HttpResponse Machines::handle(net::HttpRequest& request) {
    if (request.target != "/lab/list") {
        return json_answer(200, groups_);
    }
    auto groups = json::parse(request.body.prefix, nullptr, false);
    if (!groups.is_array()) {
        return json_answer(400, {{"error", "not a JSON array"}});
    }
    groups_ = std::move(groups);
    return json_answer(200, json::object());
}

}  // namespace anisehold::lab
