#include "lab/store.hpp"

#include <boost/fiber/operations.hpp>
#include <charconv>
#include <mutex>

#include "lab/control.hpp"
#include "store/base64.hpp"

namespace anisehold::lab {
namespace {

using nlohmann::json;
using store::base64_decode;
using store::base64_encode;

constexpr seconds kWatchKeepAlive{2};

std::string bytes_of(const json& object, const char* name) {
    return base64_decode(object.value(name, std::string())).value_or("");
}

std::uint64_t number_of(const json& object, const char* name) {
    if (!object.contains(name)) {
        return 0;
    }
    if (object[name].is_number()) {
        return object[name].get<std::uint64_t>();
    }
    const auto text = object[name].get<std::string>();
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

json key_value_json(const std::string& key, const std::string& value, std::uint64_t revision) {
    return {{"key", base64_encode(key)},
            {"value", base64_encode(value)},
            {"mod_revision", std::to_string(revision)}};
}

bool in_range(const std::string& key, const std::string& first, const std::string& end) {
    return end.empty() ? key == first : key >= first && key < end;
}

/// A body source that fails at once, so that the connection is closed in place of a response.
class CutBody final : public net::BodyReader {
  public:
    std::size_t read(char* /*data*/, std::size_t /*size*/, std::error_code& error) override {
        error = std::make_error_code(std::errc::connection_reset);
        return 0;
    }
};

}  // namespace

/// Streams changes as JSON lines until the client disconnects.
class Store::WatchReader final : public net::BodyReader {
  public:
    WatchReader(Store& store, std::string first, std::string end, std::uint64_t next_revision)
        : store_(store), first_(std::move(first)), end_(std::move(end)), next_revision_(next_revision) {
        pending_ = json{{"result", {{"header", store_.header()}, {"created", true}}}}.dump() + "\n";
    }

    std::size_t read(char* data, std::size_t size, std::error_code& error) override {
        while (pending_.empty()) {
            if (store_.faults_.outage) {
                error = std::make_error_code(std::errc::connection_reset);
                return 0;
            }
            collect();
            if (pending_.empty()) {
                std::unique_lock lock(store_.mutex_);
                store_.changed_.wait_for(lock, kWatchKeepAlive);
                collect();
                // An empty line detects whether the client is still connected.
                pending_ += pending_.empty() ? "\n" : "";
            }
        }
        const auto count = std::min(size, pending_.size());
        pending_.copy(data, count);
        pending_.erase(0, count);
        return count;
    }

  private:
    void collect() {
        for (const auto& event : store_.events_) {
            if (event.revision >= next_revision_ && in_range(event.key, first_, end_)) {
                const json change{{"type", "PUT"},
                                  {"kv", key_value_json(event.key, event.value, event.revision)}};
                pending_ += json{{"result", {{"header", store_.header()}, {"events", json::array({change})}}}}
                                .dump() +
                            "\n";
            }
        }
        next_revision_ = store_.revision_ + 1;
    }

    Store& store_;
    std::string first_;
    std::string end_;
    std::uint64_t next_revision_;
    std::string pending_;
};

Store::Store(boost::asio::io_context& io)
    : server_(io, {},
              {[this](net::HttpRequest& request, net::CancelSignal& /*cancel*/) { return handle(request); },
               [](ErrorKind) {
                   return json_answer(400, {{"error", "bad request"}});
               }}) {}

std::error_code Store::start(const Endpoint& endpoint) {
    return server_.start(endpoint);
}

net::HttpResponse Store::handle(net::HttpRequest& request) {
    if (request.target == kControlPath) {
        return apply_control(request, [this](const json& faults) {
            faults_.outage = faults.value("outage", faults_.outage);
            faults_.lose_answers = faults.value("lose_answers", faults_.lose_answers);
            faults_.stale_by = faults.value("stale_by", faults_.stale_by);
            changed_.notify_all();
        });
    }
    if (faults_.outage) {
        return json_answer(503, {{"error", "unavailable"}, {"code", 14}});
    }
    const auto body = json::parse(request.body.prefix, nullptr, false);
    if (!body.is_object()) {
        return json_answer(400, {{"error", "not JSON"}, {"code", 3}});
    }
    try {
        return serve(request.target, body);
    } catch (const json::exception& error) {
        return json_answer(400, {{"error", error.what()}, {"code", 3}});
    }
}

net::HttpResponse Store::serve(const std::string& target, const json& body) {
    if (target == "/v3/kv/range") {
        return range(body);
    }
    if (target == "/v3/kv/txn") {
        return transact(body);
    }
    if (target == "/v3/kv/put") {
        return put(body);
    }
    if (target == "/v3/watch") {
        return watch(body);
    }
    return json_answer(404, {{"error", "not found"}, {"code", 5}});
}

json Store::header() const {
    return {{"revision", std::to_string(revision_)}};
}

std::uint64_t Store::mod_revision(const std::string& key) const {
    const auto found = keys_.find(key);
    return found == keys_.end() ? 0 : found->second.back().revision;
}

net::HttpResponse Store::range(const json& body) const {
    const auto first = bytes_of(body, "key");
    const auto end = bytes_of(body, "range_end");
    const auto stale_by = static_cast<std::uint64_t>(faults_.stale_by);
    const auto as_of = revision_ > stale_by ? revision_ - stale_by : 0;
    json values = json::array();
    for (const auto& [key, versions] : keys_) {
        const Version* visible = nullptr;
        for (const auto& version : versions) {
            visible = version.revision <= as_of ? &version : visible;
        }
        if (visible != nullptr && in_range(key, first, end)) {
            values.push_back(key_value_json(key, visible->value, visible->revision));
        }
    }
    json answer{{"header", header()}, {"count", std::to_string(values.size())}};
    if (!values.empty()) {
        answer["kvs"] = std::move(values);
    }
    return json_answer(200, answer);
}

void Store::write(const std::string& key, const std::string& value) {
    keys_[key].push_back({revision_, value});
    events_.push_back({revision_, key, value});
}

net::HttpResponse Store::after_write(net::HttpResponse answer) const {
    if (faults_.lose_answers) {
        answer.body.prefix.clear();
        answer.body.rest = std::make_unique<CutBody>();
    }
    return answer;
}

net::HttpResponse Store::transact(const json& body) {
    bool holds = true;
    for (const auto& compare : body.value("compare", json::array())) {
        holds = holds && mod_revision(bytes_of(compare, "key")) == number_of(compare, "mod_revision");
    }
    if (holds) {
        ++revision_;
        for (const auto& operation : body.value("success", json::array())) {
            const auto& request = operation.at("requestPut");
            write(bytes_of(request, "key"), bytes_of(request, "value"));
        }
        changed_.notify_all();
    }
    return after_write(json_answer(200, {{"header", header()}, {"succeeded", holds}}));
}

net::HttpResponse Store::put(const json& body) {
    ++revision_;
    write(bytes_of(body, "key"), bytes_of(body, "value"));
    changed_.notify_all();
    return after_write(json_answer(200, {{"header", header()}}));
}

net::HttpResponse Store::watch(const json& body) {
    const auto& create = body.at("create_request");
    net::HttpResponse response;
    response.fields.add("Content-Type", "application/json");
    response.body.rest = std::make_unique<WatchReader>(
        *this, bytes_of(create, "key"), bytes_of(create, "range_end"), number_of(create, "start_revision"));
    return response;
}

}  // namespace anisehold::lab
