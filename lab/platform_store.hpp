/// @file
/// A stand-in for the platform's metadata store: revisions, conditions, leases, watches, and the ways in
/// which it fails. Written from the published protocol.
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

/// What goes wrong at the store.
struct PlatformStoreFaults {
    bool refuses = false;        ///< Every call gets 503; nothing is done.
    bool throttles = false;      ///< Every call gets 429; nothing is done.
    bool loses_answers = false;  ///< Writes are done and not answered.
    bool is_silent = false;      ///< Calls are taken and never answered.
    milliseconds delay{0};       ///< Before every answer.
};

/// Serves the store's calls.
class PlatformStore {
  public:
    explicit PlatformStore(boost::asio::io_context& io);
    std::error_code start(const Endpoint& endpoint);

    /// The operator's write; returns its revision.
    std::uint64_t put(const std::string& key, const std::string& value);
    /// Another writer's item, whose value isn't base64.
    void put_unreadable(const std::string& key) { store(key, "%%%", 0); }
    /// Drops all history, so that waiting and later watches from before get 410.
    void forget_history();
    /// Takes keys away; no call shows it.
    void lose_below(const std::string& prefix);
    /// Ends all leases, and their keys with them.
    void end_leases();
    std::size_t keys_below(const std::string& prefix) const;
    std::uint64_t calls() const { return calls_; }
    /// Of these, reads that may be stale, which cost a tenth.
    std::uint64_t stale_reads() const { return stale_reads_; }

    PlatformStoreFaults faults;

  private:
    struct Item {
        std::string value;  ///< As it came: base64.
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
