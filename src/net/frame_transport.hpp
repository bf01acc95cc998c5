/// @file
/// Length-prefixed frames over TCP: one request, one reply, on kept connections. The caller defines the
/// content of frames; frames above the maximum size are rejected unread.
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

/// Replies to frames. A frame consists of a four-byte length, most significant byte first, and that many
/// bytes.
class FrameServer {
  public:
    /// Returns the reply, or nothing if the frame is invalid and the connection must be closed.
    using Handler = std::function<std::optional<std::string>(std::string_view frame)>;

    FrameServer(boost::asio::io_context& io, std::size_t max_frame_bytes, Handler handler);
    ~FrameServer();
    FrameServer(const FrameServer&) = delete;
    FrameServer& operator=(const FrameServer&) = delete;

    /// Binds and starts accepting. On failure, returns the system's error and doesn't listen.
    std::error_code start(const Endpoint& endpoint);
    /// Stops accepting connections.
    void stop();

  private:
    struct State;
    std::shared_ptr<State> state_;
};

/// Sends frames to any server over pooled connections.
class FrameClient {
  public:
    FrameClient(boost::asio::io_context& io, std::size_t max_frame_bytes);
    ~FrameClient();
    FrameClient(const FrameClient&) = delete;
    FrameClient& operator=(const FrameClient&) = delete;

    /// Sends a frame and blocks the fiber until the reply. A request must be safe to send twice: if a kept
    /// connection turns out to be closed, the request is sent again over a new one. Returns nothing, and the
    /// system's error or `timed_out`, if no reply arrived by `deadline`.
    std::optional<std::string> exchange(const Endpoint& server, std::string_view frame, TimePoint deadline,
                                        std::error_code& error);

  private:
    struct State;
    std::shared_ptr<State> state_;
};

}  // namespace anisehold::net
