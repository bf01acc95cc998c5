#include "soak/link.hpp"

#include <utility>
// <utility> comes first: Boost 1.74's Asio needs std::exchange under C++20.
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/fiber/operations.hpp>
#include <list>
#include <random>
#include <string>
#include <string_view>

#include "net/await_io.hpp"
#include "net/event_loop.hpp"
#include "net/listen.hpp"
#include "net/udp_socket.hpp"

namespace anisehold::soak
{
namespace
{

using Tcp = boost::asio::ip::tcp;

constexpr std::size_t chunkBytes = 16 * 1024;
/** Interval at which a silent direction checks whether it may forward again. */
constexpr milliseconds silentPoll{ 10 };
constexpr milliseconds maxCopyDelay{ 20 };

/** Closes the socket with a TCP reset. */
void resetSocket (Tcp::socket& socket)
{
    boost::system::error_code ignored;
    socket.set_option (Tcp::socket::linger (true, 0), ignored);
    socket.close (ignored);
}

struct Connection : std::enable_shared_from_this<Connection>
{
    explicit Connection (boost::asio::io_context& io)
        : caller (io),
          target (io)
    {
    }

    void close()
    {
        boost::system::error_code ignored;
        caller.close (ignored);
        target.close (ignored);
    }

    void reset()
    {
        resetSocket (caller);
        resetSocket (target);
    }

    Tcp::socket caller;
    Tcp::socket target;
};

/** Whether the sender of the data read last has reset its connection since then: a broken link loses the data
    that it held back. */
bool wasReset (Tcp::socket& socket)
{
    char byte = 0;
    const auto got = ::recv (socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got < 0 && errno == ECONNRESET;
}

/** Whether these bytes are a response to a request that the server has refused to run. */
bool isRefusal (std::string_view bytes)
{
    return bytes.starts_with ("HTTP/1.1 503") && bytes.find ("Not-Executed:") != std::string_view::npos;
}

enum class Direction
{
    toTarget,
    toCaller
};

bool isSilent (const LinkBehaviour& behaviour, Direction direction)
{
    return direction == Direction::toTarget ? behaviour.toTargetSilent : behaviour.toCallerSilent;
}

} // namespace

//==============================================================================
struct StreamLink::State : std::enable_shared_from_this<StreamLink::State>
{
    State (boost::asio::io_context& ioToUse, Endpoint targetToUse)
        : io (ioToUse),
          acceptor (ioToUse),
          target (std::move (targetToUse))
    {
    }

    void acceptAll()
    {
        while (acceptor.is_open())
        {
            auto connection = std::make_shared<Connection> (io);
            const auto result = net::await_io (
                [&] (auto handler) { acceptor.async_accept (connection->caller, std::move (handler)); });

            if (result.error)
                continue;

            if (behaviour.resets)
            {
                resetSocket (connection->caller);
                continue;
            }

            connections.push_back (connection);
            net::EventLoop::spawn ([self = shared_from_this(), connection] { self->serve (connection); });
        }
    }

    void serve (const std::shared_ptr<Connection>& connection)
    {
        const auto address = boost::asio::ip::make_address (target.ip);
        const auto result = net::await_io (
            [&] (auto handler) {
                connection->target.async_connect (Tcp::endpoint (address, target.port), std::move (handler));
            });

        if (result.error)
        {
            connection->reset();
        }
        else
        {
            boost::system::error_code ignored;
            connection->caller.set_option (Tcp::no_delay (true), ignored);
            connection->target.set_option (Tcp::no_delay (true), ignored);
            net::EventLoop::spawn ([self = shared_from_this(), connection]
                                   { self->pump (*connection, Direction::toTarget); });
            pump (*connection, Direction::toCaller);
        }

        connections.remove (connection);
    }

    /** Forwards bytes until one side ends. */
    void pump (Connection& connection, Direction direction)
    {
        auto& from = direction == Direction::toTarget ? connection.caller : connection.target;
        auto& to = direction == Direction::toTarget ? connection.target : connection.caller;
        std::array<char, chunkBytes> buf{};
        std::string lateCopy;

        while (true)
        {
            const auto got =
                net::await_io ([&] (auto handler)
                               { from.async_read_some (boost::asio::buffer (buf), std::move (handler)); });

            const bool wasHeldBack = isSilent (behaviour, direction);

            while (isSilent (behaviour, direction) && from.is_open())
                boost::this_fiber::sleep_for (silentPoll);

            if (got.error || (wasHeldBack && from.is_open() && wasReset (from)))
                break;

            if (behaviour.delay > milliseconds (0))
                boost::this_fiber::sleep_for (behaviour.delay);

            const std::string_view bytes (buf.data(), got.bytes);
            const bool isCopied = direction == Direction::toCaller && isRefusal (bytes);
            const bool isLate = behaviour.refusalCopy == RefusalCopy::beforeNextResponse;
            const auto before = std::exchange (lateCopy, isCopied && isLate ? bytes : "");
            const std::array<boost::asio::const_buffer, 2> parts{
                boost::asio::buffer (before.data(), isLate ? before.size() : 0), boost::asio::buffer (bytes)
            };
            const auto sent = net::await_io ([&] (auto handler)
                                             { boost::asio::async_write (to, parts, std::move (handler)); });

            if (sent.error)
                break;

            if (isCopied && behaviour.refusalCopy == RefusalCopy::soonAfter)
                sendSoon (connection.shared_from_this(), std::string (bytes));
        }

        connection.close();
    }

    /** Sends bytes to the caller of the connection after a short random time. They are few, so that no other
        write to the caller mixes with them. */
    void sendSoon (const std::shared_ptr<Connection>& connection, std::string bytes)
    {
        std::uniform_int_distribution<long long> delayMs (0, maxCopyDelay.count());
        net::EventLoop::spawn (
            [connection, bytes = std::move (bytes), delay = milliseconds (delayMs (random))]
            {
                boost::this_fiber::sleep_for (delay);
                boost::system::error_code ignored;
                connection->caller.write_some (boost::asio::buffer (bytes), ignored);
            });
    }

    boost::asio::io_context& io;
    Tcp::acceptor acceptor;
    Endpoint target;
    LinkBehaviour behaviour;
    std::list<std::shared_ptr<Connection>> connections;
    std::minstd_rand random;
};

StreamLink::StreamLink (boost::asio::io_context& io, Endpoint target)
    : state (std::make_shared<State> (io, std::move (target)))
{
}

StreamLink::~StreamLink()
{
    boost::system::error_code ignored;
    state->acceptor.close (ignored);

    for (const auto& it : state->connections)
        it->reset();
}

std::error_code StreamLink::start (const Endpoint& listen)
{
    if (const auto ec = net::listen_on (state->acceptor, listen))
        return ec;

    net::EventLoop::spawn ([s = state] { s->acceptAll(); });
    return {};
}

void StreamLink::setBehaviour (const LinkBehaviour& behaviour)
{
    state->behaviour = behaviour;

    if (! behaviour.resets)
        return;

    for (const auto& it : state->connections)
        it->reset();
}

//==============================================================================
struct DatagramLink::State
{
    State (boost::asio::io_context& io, Endpoint targetToUse)
        : socket (io),
          target (std::move (targetToUse)),
          random (std::random_device{}())
    {
    }

    void pass (std::string_view bytes)
    {
        const double draw = std::uniform_real_distribution<double> (0, 1) (random);

        if (behaviour.toTargetSilent || draw < behaviour.datagramsLost)
            return;

        socket.send (target, bytes);
    }

    net::UdpSocket socket;
    Endpoint target;
    LinkBehaviour behaviour;
    std::mt19937_64 random;
};

DatagramLink::DatagramLink (boost::asio::io_context& io, Endpoint target)
    : state (std::make_shared<State> (io, std::move (target)))
{
}

DatagramLink::~DatagramLink()
{
    state->socket.close();
}

std::error_code DatagramLink::start (const Endpoint& listen)
{
    return state->socket.start (listen,
                                [s = state] (const Endpoint&, std::string_view bytes) { s->pass (bytes); });
}

void DatagramLink::setBehaviour (const LinkBehaviour& behaviour)
{
    state->behaviour = behaviour;
}

} // namespace anisehold::soak
