/// @file
/// A simulated metadata store of the platform: revisions, conditions, leases, watches and injected faults.
/// Implemented from the published protocol.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "net/http_server.hpp"
#include "protocol/endpoint.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::lab {

/// Faults of the store.
struct PlatformStoreFaults {
    bool refuses = false;        ///< Every call gets 503 and has no effect.
    bool throttles = false;      ///< Every call gets 429 and has no effect.
    bool loses_answers = false;  ///< Writes take effect but get no response.
    bool is_silent = false;      ///< Calls are accepted but get no response.
    milliseconds delay{0};       ///< Delay before every response.
};

/// Serves the store in memory.
class PlatformStore {
  public:
    explicit PlatformStore(boost::asio::io_context& io);
    std::error_code start(const Endpoint& endpoint);

    /// Writes as the operator; returns the revision of the write.
    std::uint64_t put(const std::string& key, const std::string& value);
    /// Writes an item whose value isn't base64, like another writer.
    void put_unreadable(const std::string& key) { store(key, "%%%", 0); }
    /// Drops the history, so that watches from earlier revisions, pending or new, get 410.
    void forget_history();
    /// Removes the keys with this prefix without a trace in the history.
    void lose_below(const std::string& prefix);
    /// Ends all leases and removes their keys.
    void end_leases();
    std::size_t keys_below(const std::string& prefix) const;
    std::uint64_t calls() const { return calls_; }
    /// Calls that are reads which may be stale; each costs a tenth of a call.
    std::uint64_t stale_reads() const { return stale_reads_; }

    PlatformStoreFaults faults;

  private:
    struct Item {
        std::string value;  ///< Base64, as received.
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct Change {
        std::uint64_t revision = 0;
        std::string key;
        bool gone = false;
    };
    struct Lease {
        milliseconds lifetime{0};
        TimePoint ends;
    };
    using Parameters = std::map<std::string, std::string>;

    net::HttpResponse handle(net::HttpRequest& request, net::CancelSignal& cancel);
    net::HttpResponse dispatch(const std::string& method, const std::string& path,
                               const Parameters& parameters, const nlohmann::json& body,
                               net::CancelSignal& cancel);
    net::HttpResponse read(const Parameters& parameters) const;
    net::HttpResponse list(const Parameters& parameters) const;
    net::HttpResponse watch(const Parameters& parameters, net::CancelSignal& cancel);
    net::HttpResponse write(const nlohmann::json& body);
    net::HttpResponse open_lease(const nlohmann::json& body);
    net::HttpResponse renew_lease(std::uint64_t lease);
    bool conditions_hold(const nlohmann::json& conditions) const;
    void remove(const std::string& key);
    void store(const std::string& key, const std::string& value, std::uint64_t lease);
    void expire_leases();
    nlohmann::json item_json(const std::string& key, const Item& item) const;

    net::HttpServer server_;
    std::map<std::string, Item> items_;
    std::deque<Change> history_;
    std::uint64_t history_starts_after_ = 0;
    std::map<std::uint64_t, Lease> leases_;
    std::uint64_t revision_ = 1;
    std::uint64_t next_lease_ = 1;
    std::uint64_t calls_ = 0;
    std::uint64_t stale_reads_ = 0;
};

}  // namespace anisehold::lab
