#include "lab/service_caller.hpp"

#include <iostream>

namespace anisehold::lab {
namespace {

/// Time for which a daemon that announced its stop is avoided.
constexpr seconds kAvoidClosing{5};
constexpr milliseconds kAvoidUnreachable{200};

}  // namespace

bool parse_service_targets(const std::vector<std::string>& entries, CallTargets& targets) {
    for (const auto& entry : entries) {
        const auto equals = entry.find('=');
        std::string_view left = equals == std::string::npos ? "" : std::string_view(entry).substr(equals + 1);
        auto& servers = targets.services[entry.substr(0, equals)];
        while (!left.empty()) {
            const auto end = left.find(',');
            const auto endpoint = parse_endpoint(left.substr(0, end));
            if (!endpoint) {
                std::cerr << entry << ": is not SERVICE=IP:PORT,...\n";
                return false;
            }
            servers.push_back(*endpoint);
            left.remove_prefix(end == std::string_view::npos ? left.size() : end + 1);
        }
    }
    return true;
}

ServiceCaller::ServiceCaller(boost::asio::io_context& io, CallTargets targets, std::uint64_t random_seed)
    : io_(io), targets_(std::move(targets)), random_(random_seed) {}

net::HttpClient& ServiceCaller::client_for(const Endpoint& server) {
    auto& client = clients_[server];
    if (!client) {
        net::HttpPoolLimits limits;
        limits.connections = targets_.connections;
        client = std::make_unique<net::HttpClient>(io_, server, limits);
    }
    return *client;
}

std::optional<net::HttpResponse> ServiceCaller::call(const std::string& service, net::HttpRequest& request,
                                                     const net::ExchangeOptions& options,
                                                     net::ExchangeProgress& progress,
                                                     std::error_code& error) {
    request.fields.set("Host", service);
    if (!direct()) {
        return call_daemon(request, options, progress, error);
    }
    const auto& servers = targets_.services[service];
    if (servers.empty()) {
        error = std::make_error_code(std::errc::not_connected);
        return std::nullopt;
    }
    return client_for(servers[random_() % servers.size()]).exchange(request, options, progress, error);
}

std::optional<net::HttpResponse> ServiceCaller::call_daemon(net::HttpRequest& request,
                                                            const net::ExchangeOptions& options,
                                                            net::ExchangeProgress& progress,
                                                            std::error_code& error) {
    // Tries the daemons that aren't avoided first, then the others.
    for (const bool avoided_too : {false, true}) {
        for (const auto& daemon : targets_.daemons) {
            const auto now = TimePoint::clock::now();
            const bool avoided = avoid_until_[daemon] > now;
            if (avoided != avoided_too || now >= options.deadline) {
                continue;
            }
            error.clear();
            progress = {};
            auto response = client_for(daemon).exchange(request, options, progress, error);
            if (response && response->connection_close) {
                avoid_until_[daemon] = now + kAvoidClosing;
            }
            if (response || progress.request_started) {
                return response;
            }
            avoid_until_[daemon] = now + kAvoidUnreachable;
        }
    }
    return std::nullopt;
}

}  // namespace anisehold::lab
