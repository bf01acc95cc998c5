/// @file
/// Interface to the message formats of a deployment: how clients, servers and operators express what the
/// sidecar needs. Implemented by an adapter that only translates.
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

/// Properties of a request stated by the client.
struct ClientCall {
    std::string id;                         ///< Id of this attempt; empty if there is none.
    std::optional<milliseconds> time_left;  ///< Time for which the client will wait.
};

/// Fields sent to a server in addition to the request.
struct ServerCall {
    std::string instance;  ///< The only instance that may run the request.
    std::string caller;    ///< Service on the machine where the request began.
    milliseconds time_left{0};
};

/// Classification of a response.
enum class ResponseClass {
    kGenuine,    ///< A response of the server, to be returned unchanged.
    kNotRun,     ///< The server declares that the request has not run.
    kUntrusted,  ///< Not a valid response of a server; the request may have run.
};

/// Statements of a server about itself in a response, whatever the request.
struct ServerNotice {
    std::optional<RequestRate> rate_limit;  ///< The rate that the server accepts from all daemons together.
    /// The response states a limit that can't be parsed, so the limit is unknown.
    bool has_malformed_limit = false;
    bool is_leaving = false;  ///< The server stops soon and accepts no new requests.
    /// Present duration of work at the server, in percent of the usual one; absent if it isn't stated or not
    /// credible.
    std::optional<unsigned> slowness_percent;
};

/// A registration or a leave of a server.
struct RegistrationCall {
    bool leaves = false;
    registration::Heartbeat heartbeat;  ///< Only `instance` and `start_time` are set for a leave.
};

/// Content of a health response.
struct HealthAnswer {
    std::string instance;
    std::optional<unsigned> slots;  ///< Number of requests that the server runs concurrently, if stated.
    std::optional<RequestRate> rate_limit;  ///< The server's rate limit, if stated.
};

/// A parsed configuration document, or the problem that was found.
struct ConfigurationReading {
    std::optional<routing::Configuration> configuration;
    std::string problem;
};

/// Translates between a deployment's messages and the types of this project.
class WireDialect {
  public:
    virtual ~WireDialect() = default;

    virtual ClientCall read_client_call(const net::HttpRequest& request) const = 0;
    /// Sets the header fields that the system itself sends to a server.
    virtual void write_server_call(net::HttpRequest& request, const ServerCall& call) const = 0;
    /// Returns the credentials in the request.
    virtual tenancy::Credentials read_credentials(const net::HttpRequest& request) const = 0;
    /// Removes the caller's key from the request and sets the tenant's name for the server; an empty name for
    /// a request without a tenant.
    virtual void write_tenant(net::HttpRequest& request, const tenancy::TenantName& tenant) const = 0;
    virtual ResponseClass classify_response(const net::HttpResponse& response) const = 0;
    /// Returns nothing if the response may have been written by a server other than the expected one.
    virtual std::optional<ServerNotice> read_notice(const net::HttpResponse& response) const = 0;
    /// Returns the request's header field that a server echoes in every response.
    virtual net::HeaderField echoed_field(const std::string& request_id) const = 0;
    virtual void write_retry_after(net::HttpResponse& response, milliseconds retry_after) const = 0;
    virtual bool is_readiness_call(const net::HttpRequest& request) const = 0;
    /// Returns nothing if the request isn't a registration; sets `problem` if it is a malformed one.
    virtual std::optional<RegistrationCall> read_registration(const net::HttpRequest& request,
                                                              std::string& problem) const = 0;
    /// Returns nothing unless the server is healthy and isn't leaving.
    virtual std::optional<HealthAnswer> read_health(const net::HttpResponse& response) const = 0;
    virtual ConfigurationReading read_configuration(std::string_view text) const = 0;
    /// Returns the store key of the configuration.
    virtual std::string configuration_key() const = 0;
};

}  // namespace anisehold::sidecar
