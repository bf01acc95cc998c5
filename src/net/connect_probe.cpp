#include "net/connect_probe.hpp"

#include "net/timed_stream.hpp"

namespace anisehold::net {

bool refuses_connections(boost::asio::io_context& io, const Endpoint& address, TimePoint deadline) {
    TimedStream stream(io);
    stream.writes_expire_at(deadline);
    const auto ip = boost::asio::ip::make_address(address.ip);
    return stream.connect({ip, address.port}) == boost::asio::error::connection_refused;
}

}  // namespace anisehold::net
