/// @file
/// A TCP connection whose operations time out at a deadline. Included only inside net/.
#pragma once

#include <utility>
// <utility> comes first: Boost 1.74's Asio needs std::exchange under C++20.
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/error.hpp>

#include "net/await_io.hpp"
#include "protocol/time_types.hpp"

namespace anisehold::net {

/// A non-blocking socket for one reading and one writing fiber. Operations are tried immediately and wait for
/// the socket only if they would block, so that an exchange needs few system calls.
class TimedStream {
  public:
    using Socket = boost::asio::ip::tcp::socket;

    explicit TimedStream(boost::asio::io_context& io) : socket_(io) {}
    /// Takes ownership of an accepted connection.
    explicit TimedStream(Socket socket) : socket_(std::move(socket)) { set_non_blocking(); }

    Socket& socket() { return socket_; }

    /// Sets the deadline of waits that begin from now on; they end with `beast::error::timeout`.
    void reads_expire_at(TimePoint deadline) { read_deadline_ = deadline; }
    void reads_expire_after(Duration time) { read_deadline_ = TimePoint::clock::now() + time; }
    void reads_expire_never() { read_deadline_ = TimePoint::max(); }
    /// Whether the deadline of reads has passed. Reads that needn't wait succeed even then.
    bool reads_expired() const { return TimePoint::clock::now() >= read_deadline_; }
    void writes_expire_at(TimePoint deadline) { write_deadline_ = deadline; }

    /// Ends the current waits.
    void cancel() {
        boost::system::error_code ignored;
        socket_.cancel(ignored);
    }
    /// Ends the current and all later waits; the connection is unusable afterwards.
    void abort() {
        aborted_ = true;
        cancel();
    }
    bool is_aborted() const { return aborted_; }
    /// Resets the connection: written bytes that haven't reached the peer yet are discarded. (The socket is
    /// closed here because Asio's destructor clears the linger option.)
    void reset() {
        boost::system::error_code ignored;
        socket_.set_option(Socket::linger(true, 0), ignored);
        socket_.close(ignored);
    }

    /// Connects; the socket is non-blocking afterwards.
    boost::system::error_code connect(const boost::asio::ip::tcp::endpoint& endpoint) {
        const auto error = await(write_deadline_,
                                 [&](auto handler) { socket_.async_connect(endpoint, std::move(handler)); });
        if (!error) {
            set_non_blocking();
        }
        return error;
    }

    boost::system::error_code wait_readable() { return wait(Socket::wait_read); }

    /// Calls `attempt(error)`, a non-blocking operation, until it no longer would block; waits for the socket
    /// in between.
    template <typename Attempt>
    boost::system::error_code complete_read(Attempt attempt) {
        return complete(Socket::wait_read, attempt);
    }
    template <typename Attempt>
    boost::system::error_code complete_write(Attempt attempt) {
        return complete(Socket::wait_write, attempt);
    }

  private:
    void set_non_blocking() {
        boost::system::error_code ignored;
        socket_.non_blocking(true, ignored);
    }

    template <typename Start>
    boost::system::error_code await(TimePoint deadline, Start start) {
        if (aborted_) {
            return boost::asio::error::operation_aborted;
        }
        const auto result = await_io_until(deadline, start, [this] { cancel(); });
        if (result.timed_out && result.error) {
            return boost::beast::error::timeout;
        }
        return result.error;
    }

    boost::system::error_code wait(Socket::wait_type readiness) {
        const auto deadline = readiness == Socket::wait_read ? read_deadline_ : write_deadline_;
        return await(deadline, [&](auto handler) { socket_.async_wait(readiness, std::move(handler)); });
    }

    template <typename Attempt>
    boost::system::error_code complete(Socket::wait_type readiness, Attempt attempt) {
        boost::system::error_code error;
        attempt(error);
        while (error == boost::asio::error::would_block) {
            error = wait(readiness);
            if (!error) {
                attempt(error);
            }
        }
        return error;
    }

    Socket socket_;
    TimePoint read_deadline_ = TimePoint::max();
    TimePoint write_deadline_ = TimePoint::max();
    bool aborted_ = false;
};

}  // namespace anisehold::net
