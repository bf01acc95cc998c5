/// @file
/// Length-prefixed frames over TCP: one request, one reply, on kept connections. What a frame holds is the
/// caller's; larger ones than agreed are refused unread.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

#include "protocol/endpoint.hpp"
#include "protocol/time_types.hpp"

namespace boost::asio {
class io_context;
}

namespace anisehold::net {

/// Answers frames. A frame is four bytes of length, most significant first, and that many bytes.
class FrameServer {
  public:
    /// Returns the reply, or nothing to have the connection closed (the frame was not acceptable).
    using Handler = std::function<std::optional<std::string>(std::string_view frame)>;

    FrameServer(boost::asio::io_context& io, std::size_t largest_frame, Handler handler);
    ~FrameServer();
    FrameServer(const FrameServer&) = delete;
    FrameServer& operator=(const FrameServer&) = delete;

    /// Binds and starts accepting; on an error, the system's, nothing is listening.
    std::error_code start(const Endpoint& endpoint);
    /// Accepts no new connection.
    void stop();

  private:
    struct State;
    std::shared_ptr<State> state_;
};

/// Sends frames to any server over pooled connections.
class FrameClient {
  public:
    FrameClient(boost::asio::io_context& io, std::size_t largest_frame);
    ~FrameClient();
    FrameClient(const FrameClient&) = delete;
    FrameClient& operator=(const FrameClient&) = delete;

    /// Sends a frame and blocks the fiber until the reply. A request must be safe to send twice: if a kept
    /// connection proves to be closed, it is sent once more over a new one. Nothing and the system's error,
    /// or `timed_out`, if no reply came by `deadline`.
    std::optional<std::string> exchange(const Endpoint& server, std::string_view frame, TimePoint deadline,
                                        std::error_code& error);

  private:
    struct State;
    std::shared_ptr<State> state_;
};

}  // namespace anisehold::net
