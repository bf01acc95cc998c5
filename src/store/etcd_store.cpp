#include "store/etcd_store.hpp"

#include <array>
#include <charconv>
#include <nlohmann/json.hpp>

#include "store/base64.hpp"

namespace anisehold::store {
namespace {

using nlohmann::json;

constexpr unsigned kHttpOk = 200;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kUnavailable = 503;
/// Bytes read from a watch at a time.
constexpr std::size_t kWatchChunkBytes = 16 * 1024;
/// Maximum size in bytes of a watch message or response from the store.
constexpr std::size_t kMaxMessageBytes = 8 * 1024 * 1024;
/// A watch without events for this time is closed, so that a silently broken connection is detected.
constexpr milliseconds kWatchSilence{15'000};

std::error_code malformed() {
    return std::make_error_code(std::errc::bad_message);
}

/// The gateway encodes 64-bit numbers as strings and omits zeros.
std::optional<std::uint64_t> read_number(const json& object, const char* name) {
    if (!object.is_object()) {
        return std::nullopt;
    }
    const auto found = object.find(name);
    if (found == object.end()) {
        return 0;
    }
    if (found->is_number_unsigned()) {
        return found->get<std::uint64_t>();
    }
    if (!found->is_string()) {
        return std::nullopt;
    }
    const auto& text = found->get_ref<const std::string&>();
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool whole = error == std::errc{} && end == text.data() + text.size();
    return whole ? std::optional(value) : std::nullopt;
}

std::optional<std::string> read_bytes(const json& object, const char* name) {
    const auto found = object.find(name);
    if (found == object.end()) {
        return std::string();
    }
    return found->is_string() ? base64_decode(found->get_ref<const std::string&>()) : std::nullopt;
}

std::optional<KeyValue> read_key_value(const json& object) {
    if (!object.is_object()) {
        return std::nullopt;
    }
    const auto key = read_bytes(object, "key");
    const auto value = read_bytes(object, "value");
    const auto revision = read_number(object, "mod_revision");
    if (!key || !value || !revision) {
        return std::nullopt;
    }
    return KeyValue{*key, *value, *revision};
}

std::optional<std::uint64_t> read_header_revision(const json& answer) {
    if (!answer.is_object() || !answer.contains("header")) {
        return std::nullopt;
    }
    return read_number(answer["header"], "revision");
}

json range_json(const std::string& first, const std::string& end) {
    json object{{"key", base64_encode(first)}};
    if (!end.empty()) {
        object["range_end"] = base64_encode(end);
    }
    return object;
}

/// Handles one line of a watch stream; returns false to end the watch.
bool handle_watch_line(const std::string& line, const std::function<bool(const KeyValue&)>& on_change,
                       std::error_code& error) {
    const auto message = json::parse(line, nullptr, false);
    if (!message.is_object() || !message.contains("result") || !message["result"].is_object()) {
        error = malformed();
        return false;
    }
    const auto& result = message["result"];
    if (!result.contains("events")) {
        return true;
    }
    if (!result["events"].is_array()) {
        error = malformed();
        return false;
    }
    for (const auto& event : result["events"]) {
        const auto change =
            event.is_object() && event.contains("kv") ? read_key_value(event["kv"]) : std::nullopt;
        if (!change) {
            error = malformed();
            return false;
        }
        if (!on_change(*change)) {
            return false;
        }
    }
    return true;
}

/// Processes every complete line in `pending` and keeps the rest.
bool handle_lines(std::string& pending, const std::function<bool(const KeyValue&)>& on_change,
                  std::error_code& error) {
    std::size_t end = pending.find('\n');
    while (end != std::string::npos) {
        const std::string line = pending.substr(0, end);
        pending.erase(0, end + 1);
        if (!line.empty() && !handle_watch_line(line, on_change, error)) {
            return false;
        }
        end = pending.find('\n');
    }
    return true;
}

}  // namespace

std::string prefix_end(std::string prefix) {
    prefix.back() = static_cast<char>(prefix.back() + 1);
    return prefix;
}

EtcdStore::EtcdStore(boost::asio::io_context& io, const std::vector<Endpoint>& servers,
                     milliseconds timeout_ms)
    : timeout_ms_(timeout_ms) {
    net::HttpPoolLimits limits;
    limits.connect_timeout_ms = timeout_ms;
    limits.body_timeout_ms = kWatchSilence;
    for (const auto& server : servers) {
        clients_.push_back(std::make_unique<net::HttpClient>(io, server, limits));
    }
}

std::optional<std::string> EtcdStore::post(const std::string& path, const std::string& body, bool repeatable,
                                           bool& maybe_received, std::error_code& error) {
    error = std::make_error_code(std::errc::not_connected);
    for (std::size_t tried = 0; tried < clients_.size(); ++tried) {
        auto request = net::make_request("POST", path, body);
        request.fields.add("Content-Type", "application/json");
        net::ExchangeProgress progress;
        error.clear();
        auto response = clients_[preferred_]->exchange(
            request, {TimePoint::clock::now() + timeout_ms_, nullptr}, progress, error);
        std::optional<std::string> text;
        if (response) {
            text = net::read_whole(response->body, kMaxMessageBytes, error);
        }
        const bool whole = text.has_value();
        if (whole && response->status == kHttpOk) {
            return text;
        }
        if (!error) {
            // The gateway rejected the request (rate limited or unavailable) or the response was truncated.
            error = std::make_error_code(whole ? std::errc::resource_unavailable_try_again
                                               : std::errc::bad_message);
        }
        const bool refused =
            whole && (response->status == kTooManyRequests || response->status == kUnavailable);
        maybe_received = maybe_received || (progress.request_started && !refused);
        preferred_ = (preferred_ + 1) % clients_.size();
        if (maybe_received && !repeatable) {
            return std::nullopt;
        }
    }
    return std::nullopt;
}

std::optional<RangeResult> EtcdStore::range(const std::string& first, const std::string& end,
                                            std::error_code& error) {
    bool maybe_received = false;
    const auto text = post("/v3/kv/range", range_json(first, end).dump(), true, maybe_received, error);
    if (!text) {
        return std::nullopt;
    }
    const auto answer = json::parse(*text, nullptr, false);
    const auto revision = read_header_revision(answer);
    const bool has_values = revision && answer.contains("kvs");
    if (!revision || (has_values && !answer["kvs"].is_array())) {
        error = malformed();
        return std::nullopt;
    }
    RangeResult result;
    result.store_revision = *revision;
    for (const auto& element : has_values ? answer["kvs"] : json::array()) {
        const auto value = read_key_value(element);
        if (!value) {
            error = malformed();
            return std::nullopt;
        }
        result.values.push_back(*value);
    }
    return result;
}

SwapResult EtcdStore::compare_and_swap(const std::string& compared_key, std::uint64_t revision,
                                       const std::vector<Put>& puts) {
    json success = json::array();
    for (const auto& put : puts) {
        success.push_back(
            {{"requestPut", {{"key", base64_encode(put.key)}, {"value", base64_encode(put.value)}}}});
    }
    const json body{{"compare", json::array({{{"key", base64_encode(compared_key)},
                                              {"target", "MOD"},
                                              {"result", "EQUAL"},
                                              {"mod_revision", std::to_string(revision)}}})},
                    {"success", std::move(success)}};
    SwapResult result;
    bool maybe_received = false;
    const auto text = post("/v3/kv/txn", body.dump(), false, maybe_received, result.error);
    if (!text) {
        result.outcome = maybe_received ? SwapOutcome::kUnknown : SwapOutcome::kRefused;
        return result;
    }
    const auto answer = json::parse(*text, nullptr, false);
    const auto new_revision = read_header_revision(answer);
    if (!new_revision) {
        result.error = malformed();
        return result;
    }
    const bool succeeded = answer.contains("succeeded") && answer["succeeded"] == true;
    result.outcome = succeeded ? SwapOutcome::kDone : SwapOutcome::kConflict;
    result.revision = *new_revision;
    return result;
}

std::error_code EtcdStore::watch(const std::string& first, const std::string& end,
                                 std::uint64_t start_revision,
                                 const std::function<bool(const KeyValue&)>& on_change) {
    if (clients_.empty()) {
        return std::make_error_code(std::errc::not_connected);
    }
    json create = range_json(first, end);
    create["start_revision"] = std::to_string(start_revision);
    auto request = net::make_request("POST", "/v3/watch", json{{"create_request", create}}.dump());
    request.fields.add("Content-Type", "application/json");
    net::ExchangeProgress progress;
    std::error_code error;
    auto response = clients_[preferred_]->exchange_streaming(request, TimePoint::clock::now() + timeout_ms_,
                                                             progress, error);
    if (!response || response->status != kHttpOk) {
        preferred_ = (preferred_ + 1) % clients_.size();
        return error ? error : std::make_error_code(std::errc::resource_unavailable_try_again);
    }
    std::string pending = std::move(response->body.prefix);
    std::array<char, kWatchChunkBytes> chunk;
    bool go_on = handle_lines(pending, on_change, error);
    while (go_on && response->body.rest && !error) {
        const auto count = response->body.rest->read(chunk.data(), chunk.size(), error);
        pending.append(chunk.data(), count);
        const bool ended = count == 0 && !error;
        go_on = !ended && pending.size() <= kMaxMessageBytes && handle_lines(pending, on_change, error);
    }
    return error;
}

}  // namespace anisehold::store
