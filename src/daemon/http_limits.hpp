/// @file
/// The limits of the table daemon's HTTP servers and connection pools, in one place. Owns nothing; relies on
/// the settings. Connections to the store have their own, in store/etcd_store.cpp, since the command line
/// uses them too.
#pragma once

#include "config/settings.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"

namespace anisehold::daemon {

/// Of the listener for callers and other daemons: the settings `limits.*`.
net::HttpServerLimits caller_limits(const config::Settings& settings);

/// Of the admin port.
net::HttpServerLimits admin_limits();

/// Of a gate's connections to its server: the settings `backends.*`. `reuse_unclean` is for the lab alone:
/// broken exchanges are pooled too.
net::HttpPoolLimits gate_pool_limits(const config::Settings& settings, bool reuse_unclean);

}  // namespace anisehold::daemon
