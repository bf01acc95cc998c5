/** Forwarders on loopback that replace a machine's links and inject faults into them.

    A link forwards connections (or datagrams) from one address to another. Its behaviour is set from outside,
    by value, and reset in the same way.
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

/** When a second copy of a response that says that the request has not run is forwarded. Relies on responses
    that arrive in one piece. */
enum class RefusalCopy
{
    none,
    beforeNextResponse, /**< Directly before the next response of the connection. */
    soonAfter           /**< Up to 20 ms after the refusal. */
};

/** How a link treats the traffic that it forwards. */
struct LinkBehaviour
{
    milliseconds delay{ 0 };     /**< Each chunk is forwarded after this delay. */
    bool toTargetSilent = false; /**< Nothing is forwarded to the target; no connection is closed. */
    bool toCallerSilent = false; /**< Nothing is forwarded to the caller. */
    bool resets = false; /**< Open connections are reset, and new ones immediately after they are accepted. */
    RefusalCopy refusalCopy = RefusalCopy::none;
    double datagramsLost = 0; /**< Share of the datagrams that is dropped. */
};

/** Forwards TCP connections. */
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

/** Forwards datagrams in one direction. */
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
