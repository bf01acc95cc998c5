#include "lab/platform_store.hpp"

#include <boost/fiber/operations.hpp>

#include "protocol/duration_text.hpp"
#include "store/base64.hpp"

namespace anisehold::lab {
namespace {

using nlohmann::json;

constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kForbidden = 403;
constexpr unsigned kNotFound = 404;
constexpr unsigned kGone = 410;
constexpr unsigned kConditionFailed = 412;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kUnavailable = 503;
constexpr milliseconds kPoll{5};
constexpr milliseconds kForever{3'600'000};

net::HttpResponse answer(unsigned status, const json& body = json::object()) {
    return net::make_response(status, "application/json", body.dump());
}

std::string percent_decoded(const std::string& text) {
    std::string decoded;
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (text[index] == '%' && index + 2 < text.size()) {
            decoded += static_cast<char>(std::stoi(text.substr(index + 1, 2), nullptr, 16));
            index += 2;
        } else {
            decoded += text[index];
        }
    }
    return decoded;
}

std::map<std::string, std::string> parameters_of(const std::string& target) {
    std::map<std::string, std::string> parameters;
    auto at = target.find('?');
    while (at != std::string::npos) {
        const auto end = target.find('&', at + 1);
        const auto part = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
        const auto equals = part.find('=');
        if (equals != std::string::npos) {
            parameters[part.substr(0, equals)] = percent_decoded(part.substr(equals + 1));
        }
        at = end;
    }
    return parameters;
}

std::string parameter(const std::map<std::string, std::string>& parameters, const std::string& name) {
    const auto found = parameters.find(name);
    return found == parameters.end() ? "" : found->second;
}

}  // namespace

PlatformStore::PlatformStore(boost::asio::io_context& io)
    : server_(
          io, {},
          {[this](net::HttpRequest& request, net::CancelSignal& cancel) { return handle(request, cancel); },
           [](ErrorKind /*kind*/) { return answer(kBadRequest); }}) {}

std::error_code PlatformStore::start(const Endpoint& endpoint) {
    return server_.start(endpoint);
}

std::uint64_t PlatformStore::put(const std::string& key, const std::string& value) {
    store(key, anisehold::store::base64_encode(value), 0);
    return revision_;
}

void PlatformStore::forget_history() {
    history_.clear();
    history_starts_after_ = revision_;
}

void PlatformStore::end_leases() {
    for (auto& [id, lease] : leases_) {
        lease.ends = TimePoint{};
    }
    expire_leases();
}

void PlatformStore::lose_below(const std::string& prefix) {
    std::vector<std::string> lost;
    for (const auto& [key, item] : items_) {
        if (key.rfind(prefix, 0) == 0) {
            lost.push_back(key);
        }
    }
    for (const auto& key : lost) {
        remove(key);
    }
}

std::size_t PlatformStore::keys_below(const std::string& prefix) const {
    std::size_t count = 0;
    for (const auto& [key, item] : items_) {
        count += key.rfind(prefix, 0) == 0 ? 1 : 0;
    }
    return count;
}

void PlatformStore::store(const std::string& key, const std::string& value, std::uint64_t lease) {
    auto& item = items_[key];
    ++revision_;
    item = {value, revision_, item.created == 0 ? revision_ : item.created, lease};
    history_.push_back({revision_, key, false});
}

void PlatformStore::remove(const std::string& key) {
    if (items_.erase(key) > 0) {
        history_.push_back({++revision_, key, true});
    }
}

void PlatformStore::expire_leases() {
    const auto now = TimePoint::clock::now();
    for (auto lease = leases_.begin(); lease != leases_.end();) {
        if (lease->second.ends > now) {
            ++lease;
            continue;
        }
        std::vector<std::string> keys;
        for (const auto& [key, item] : items_) {
            if (item.lease == lease->first) {
                keys.push_back(key);
            }
        }
        for (const auto& key : keys) {
            remove(key);
        }
        lease = leases_.erase(lease);
    }
}

json PlatformStore::item_json(const std::string& key, const Item& item) const {
    return {{"privateKey", key},
            {"value", item.value},
            {"revision", item.revision},
            {"created", item.created},
            {"lease", item.lease}};
}

net::HttpResponse PlatformStore::handle(net::HttpRequest& request, net::CancelSignal& cancel) {
    ++calls_;
    stale_reads_ += parameter(parameters_of(request.target), "stale") == "1" ? 1 : 0;
    expire_leases();
    if (faults.delay > milliseconds(0)) {
        boost::this_fiber::sleep_for(faults.delay);
    }
    while (faults.is_silent && !cancel.cancelled()) {
        boost::this_fiber::sleep_for(kPoll);
    }
    if (faults.refuses) {
        return answer(kUnavailable);
    }
    if (faults.throttles) {
        return answer(kTooManyRequests);
    }
    const auto body = json::parse(request.body.prefix, nullptr, false);
    const auto path = request.target.substr(0, request.target.find('?'));
    auto response = dispatch(request.method, path, parameters_of(request.target), body, cancel);
    const auto lost_until = TimePoint::clock::now() + kForever;
    while (request.method == "POST" && faults.loses_answers && !cancel.cancelled() &&
           TimePoint::clock::now() < lost_until) {
        boost::this_fiber::sleep_for(kPoll);
    }
    return response;
}

net::HttpResponse PlatformStore::dispatch(const std::string& method, const std::string& path,
                                          const Parameters& parameters, const json& body,
                                          net::CancelSignal& cancel) {
    const std::string renew = "/-/kv-keep/";
    if (method == "GET" && path == "/-/kv-key") {
        return read(parameters);
    }
    if (method == "GET" && path == "/-/kv-range") {
        return list(parameters);
    }
    if (method == "GET" && path == "/-/kv-watch") {
        return watch(parameters, cancel);
    }
    if (method == "POST" && path == "/-/kv-txn") {
        return write(body);
    }
    if (method == "POST" && path == "/-/kv-lease") {
        return open_lease(body);
    }
    if (method == "POST" && path.rfind(renew, 0) == 0) {
        return renew_lease(std::stoull("0" + path.substr(renew.size())));
    }
    return answer(kNotFound);
}

net::HttpResponse PlatformStore::read(const Parameters& parameters) const {
    const auto found = items_.find(parameter(parameters, "privateKey"));
    if (found == items_.end()) {
        return answer(kNotFound, {{"at", revision_}});
    }
    auto item = item_json(found->first, found->second);
    item["at"] = revision_;
    return answer(kOk, item);
}

net::HttpResponse PlatformStore::list(const Parameters& parameters) const {
    constexpr std::size_t page = 3;  // Small, so that tests read several pages.
    const auto prefix = parameter(parameters, "pathPrefix");
    const auto after = parameter(parameters, "after");
    json items = json::array();
    bool more = false;
    for (const auto& [key, item] : items_) {
        if (key.rfind(prefix, 0) != 0 || (!after.empty() && key <= after)) {
            continue;
        }
        more = items.size() == page;
        if (more) {
            break;
        }
        items.push_back(item_json(key, item));
    }
    return answer(kOk, {{"items", items}, {"more", more}, {"at", revision_}});
}

net::HttpResponse PlatformStore::watch(const Parameters& parameters, net::CancelSignal& cancel) {
    const auto prefix = parameter(parameters, "pathPrefix");
    const auto after = std::stoull("0" + parameter(parameters, "after"));
    const auto until =
        TimePoint::clock::now() + milliseconds(std::stoll("0" + parameter(parameters, "waitMs")));
    while (!cancel.cancelled()) {
        if (after < history_starts_after_) {
            return answer(kGone);
        }
        json events = json::array();
        for (const auto& change : history_) {
            const auto found = items_.find(change.key);
            if (change.revision <= after || change.key.rfind(prefix, 0) != 0) {
                continue;
            }
            if (change.gone || found == items_.end()) {
                events.push_back({{"privateKey", change.key}, {"revision", change.revision}, {"gone", true}});
            } else {
                events.push_back(item_json(change.key, found->second));
            }
        }
        if (!events.empty() || TimePoint::clock::now() >= until) {
            return answer(kOk, {{"events", events}, {"at", revision_}});
        }
        boost::this_fiber::sleep_for(kPoll);
    }
    return answer(kUnavailable);
}

bool PlatformStore::conditions_hold(const json& conditions) const {
    for (const auto& condition : conditions) {
        const auto found = items_.find(condition.at("privateKey").get<std::string>());
        const auto present = found == items_.end() ? 0 : found->second.revision;
        if (present != condition.at("revision").get<std::uint64_t>()) {
            return false;
        }
    }
    return true;
}

net::HttpResponse PlatformStore::write(const json& body) {
    if (!body.is_object()) {
        return answer(kBadRequest);
    }
    if (!conditions_hold(body.at("expectedRevision"))) {
        return answer(kConditionFailed, {{"items", json::array()}});
    }
    for (const auto& put : body.at("put")) {
        const auto key = put.at("privateKey").get<std::string>();
        const auto lease = put.value("lease", std::uint64_t{0});
        if (key.rfind("op/", 0) == 0 || key.rfind("servers/", 0) == 0) {
            return answer(kForbidden);
        }
        if (lease != 0 && !leases_.contains(lease)) {
            return answer(kNotFound);
        }
        store(key, put.at("value").get<std::string>(), lease);
    }
    for (const auto& key : body.at("remove")) {
        remove(key.get<std::string>());
    }
    return answer(kOk, {{"revision", revision_}});
}

net::HttpResponse PlatformStore::open_lease(const json& body) {
    const auto lifetime = parse_duration(body.is_object() ? body.value("ttl_time", "") : "");
    if (!lifetime) {
        return answer(kBadRequest);
    }
    const auto id = next_lease_++;
    leases_[id] = {*lifetime, TimePoint::clock::now() + *lifetime};
    return answer(kOk, {{"lease", id}, {"ttl_time", std::to_string(lifetime->count()) + "ms"}});
}

net::HttpResponse PlatformStore::renew_lease(std::uint64_t lease) {
    const auto found = leases_.find(lease);
    if (found == leases_.end()) {
        return answer(kNotFound);
    }
    found->second.ends = TimePoint::clock::now() + found->second.lifetime;
    return answer(kOk, {{"ttl_time", std::to_string(found->second.lifetime.count()) + "ms"}});
}

}  // namespace anisehold::lab
