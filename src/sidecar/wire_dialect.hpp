/// @file
/// How clients, servers and operators of a deployment spell what the sidecar needs to know. Implemented by
/// an adapter, which only translates.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "net/http_types.hpp"
#include "protocol/request_rate.hpp"
#include "protocol/time_types.hpp"
#include "registration/server_registry.hpp"
#include "routing/configuration.hpp"
#include "tenancy/caller_verdict.hpp"

namespace anisehold::sidecar {

/// What a client says of its request.
struct ClientCall {
    std::string id;                         ///< Of this attempt; empty if it has none.
    std::optional<milliseconds> time_left;  ///< How long the client will wait.
};

/// What a server is sent beside the request.
struct ServerCall {
    std::string instance;  ///< The only server that may run it.
    std::string caller;    ///< Service on the machine where the request began.
    milliseconds time_left{0};
};

/// What a server's answer is.
enum class ResponseClass {
    kGenuine,    ///< The server's own answer, to be returned unchanged.
    kNotRun,     ///< The server declares that it ran nothing.
    kUntrusted,  ///< Not what a server sends; the request may have run.
};

/// What a server says of itself in an answer, whatever the request.
struct ServerNotice {
    std::optional<RequestRate> rate_limit;  ///< The rate that it takes from all daemons together.
    bool has_malformed_limit = false;  ///< It names one that can't be read: nothing is known of its limit.
    bool is_leaving = false;           ///< It ends soon and takes no new requests.
};

/// A server registers, or leaves.
struct RegistrationCall {
    bool leaves = false;
    registration::Heartbeat heartbeat;  ///< Only `instance` and `start_time` are set when it leaves.
};

/// What a server says of itself when it is asked for its health.
struct HealthAnswer {
    std::string instance;
    std::optional<unsigned> slots;          ///< Requests that it works on at the same time, where it says so.
    std::optional<RequestRate> rate_limit;  ///< Where it names one.
};

/// A configuration document, or what is wrong with it.
struct ConfigurationReading {
    std::optional<routing::Configuration> configuration;
    std::string problem;
};

/// Translates between a deployment's messages and the product's types.
class WireDialect {
  public:
    virtual ~WireDialect() = default;

    virtual ClientCall read_client_call(const net::HttpRequest& request) const = 0;
    /// Sets the header lines that the system itself sends a server.
    virtual void write_server_call(net::HttpRequest& request, const ServerCall& call) const = 0;
    /// What the request says of its caller.
    virtual tenancy::Credentials read_credentials(const net::HttpRequest& request) const = 0;
    /// Takes the caller's key out of the request and names the tenant to the server instead; an empty name
    /// for a request that belongs to none.
    virtual void write_tenant(net::HttpRequest& request, const tenancy::TenantName& tenant) const = 0;
    virtual ResponseClass classify_response(const net::HttpResponse& response) const = 0;
    /// Nothing if another server than the one that was meant may have written the answer.
    virtual std::optional<ServerNotice> read_notice(const net::HttpResponse& response) const = 0;
    /// The header line of the request that a server echoes in every answer.
    virtual net::HeaderField echoed_field(const std::string& request_id) const = 0;
    virtual void write_retry_after(net::HttpResponse& response, milliseconds retry_after) const = 0;
    virtual bool is_readiness_call(const net::HttpRequest& request) const = 0;
    /// Nothing if it isn't a registration; `problem` is set if it is a malformed one.
    virtual std::optional<RegistrationCall> read_registration(const net::HttpRequest& request,
                                                              std::string& problem) const = 0;
    /// Nothing unless the server is well and isn't leaving.
    virtual std::optional<HealthAnswer> read_health(const net::HttpResponse& response) const = 0;
    virtual ConfigurationReading read_configuration(std::string_view text) const = 0;
    /// Key of the configuration in the store.
    virtual std::string configuration_key() const = 0;
};

}  // namespace anisehold::sidecar
