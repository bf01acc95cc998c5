/// @file
/// The limits of the table daemon's HTTP servers and connection pools. Owns nothing; relies on the settings.
/// The limits of store connections are in store/etcd_store.cpp, because the command line uses them too.
#pragma once

#include "config/settings.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"

namespace anisehold::daemon {

/// Limits of the listener for callers and other daemons, from the settings `limits.*`.
net::HttpServerLimits caller_limits(const config::Settings& settings);

/// Limits of the admin port.
net::HttpServerLimits admin_limits();

/// Limits of a gate's connections to its server, from the settings `backends.*`. `reuse_unclean` is only for
/// the lab: connections are returned to the pool even after broken exchanges.
net::HttpPoolLimits gate_pool_limits(const config::Settings& settings, bool reuse_unclean);

}  // namespace anisehold::daemon
