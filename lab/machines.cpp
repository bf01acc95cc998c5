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

void Machines::set_list(json groups) {
    versions_.push_back({TimePoint::clock::now() + lag_, std::move(groups)});
}

net::HttpResponse Machines::handle(net::HttpRequest& request) {
    if (request.target == kControlPath) {
        return apply_control(request, [this](const json& faults) {
            lag_ = milliseconds(faults.value("lag_ms", static_cast<long long>(lag_.count())));
            outage_ = faults.value("outage", outage_);
        });
    }
    if (request.target == "/lab/list") {
        auto groups = json::parse(request.body.prefix, nullptr, false);
        if (!groups.is_array()) {
            return json_answer(400, {{"error", "not a JSON array"}});
        }
        set_list(std::move(groups));
        return json_answer(200, json::object());
    }
    if (outage_) {
        return json_answer(503, {{"error", "unavailable"}});
    }
    const auto now = TimePoint::clock::now();
    while (versions_.size() > 1 && versions_[1].shown_from <= now) {
        versions_.pop_front();
    }
    return json_answer(200, versions_.empty() ? json::array() : versions_.front().groups);
}

}  // namespace anisehold::lab
