/** Forwarders on loopback that stand in a machine's links and spoil them.

    A link passes connections (or datagrams) on from one address to another. What it does to them is set from
    outside, by value, and taken back the same way.
*/
#pragma once

#include <memory>
#include <system_error>

#include "protocol/endpoint.hpp"
#include "protocol/time_types.hpp"

namespace boost::asio
{
class io_context;
}

namespace anisehold::soak
{

/** How a link treats what goes through it. */
struct LinkBehaviour
{
    milliseconds delay{ 0 };     /**< Each chunk is passed on this much later. */
    bool toTargetSilent = false; /**< Nothing passes towards the target; nothing is closed. */
    bool toCallerSilent = false; /**< Nothing passes back. */
    bool resets = false;         /**< Open connections are reset, and new ones at once. */
    double datagramsLost = 0;    /**< Share of the datagrams that is dropped. */
};

/** Passes TCP connections on. */
class StreamLink
{
public:
    StreamLink (boost::asio::io_context&, Endpoint target);
    ~StreamLink();

    std::error_code start (const Endpoint& listen);
    void setBehaviour (const LinkBehaviour&);

private:
    struct State;
    std::shared_ptr<State> state;
};

/** Passes datagrams on, one way. */
class DatagramLink
{
public:
    DatagramLink (boost::asio::io_context&, Endpoint target);
    ~DatagramLink();

    std::error_code start (const Endpoint& listen);
    void setBehaviour (const LinkBehaviour&);

private:
    struct State;
    std::shared_ptr<State> state;
};

} // namespace anisehold::soak
