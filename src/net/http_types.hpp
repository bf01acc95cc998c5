/// @file
/// HTTP requests and responses as the rest of the code sees them, and the signal that a caller has gone.
/// Beast stays inside net/. Plain values: what the bytes on the wire are is the client's and the server's.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace anisehold::net {

/// One header line.
struct HeaderField {
    std::string name;
    std::string value;
};

/// Header lines in order; names compare without regard to case.
class HeaderFields {
  public:
    /// The value of the first line with this name.
    std::optional<std::string_view> find(std::string_view name) const;
    /// Replaces all lines with this name by one.
    void set(std::string_view name, std::string value);
    void add(std::string name, std::string value) { fields_.push_back({std::move(name), std::move(value)}); }
    void remove(std::string_view name);

    auto begin() const { return fields_.begin(); }
    auto end() const { return fields_.end(); }

  private:
    std::vector<HeaderField> fields_;
};

/// Pulls the part of a body that wasn't buffered.
class BodyReader {
  public:
    virtual ~BodyReader() = default;
    /// Reads up to `size` bytes. Returns 0 without an error at the regular end; an error means that the
    /// body was cut.
    virtual std::size_t read(char* data, std::size_t size, std::error_code& error) = 0;
};

/// Whether an answer with this status says that its server failed (RFC 9110, 15.6).
inline bool is_server_error(unsigned status) {
    constexpr unsigned first_server_error = 500;
    return status >= first_server_error;
}

/// A message body: what was buffered, and a reader for what remains of a large one.
struct Body {
    std::string prefix;
    std::unique_ptr<BodyReader> rest;     ///< Null when `prefix` is the whole body.
    std::optional<std::uint64_t> length;  ///< Total length in bytes, where the sender declared it.

    bool whole() const { return !rest; }
};

/// Bodies up to this size, in bytes, are buffered whole, checked for length and may be sent again. Chosen,
/// not measured.
inline constexpr std::size_t kBufferedBodyBytes = 64 * 1024;

struct HttpRequest {
    std::string method;
    std::string target;
    HeaderFields fields;
    Body body;
};

struct HttpResponse {
    unsigned status = 200;
    HeaderFields fields;
    Body body;
    bool connection_close = false;  ///< The sender announced that it closes the connection after this answer.
};

/// A response with a small body.
HttpResponse make_response(unsigned status, std::string content_type, std::string body);

/// A request with a small body.
HttpRequest make_request(std::string method, std::string target, std::string body = {});

/// Reports to the holder of a call that its caller has gone away. For one thread.
class CancelSignal {
  public:
    using Callback = std::function<void()>;

    bool cancelled() const { return cancelled_; }
    /// Marks the signal and runs the callback, if one is set. Only the first call has an effect.
    void cancel();
    /// Sets the one callback, or clears it with an empty function.
    void on_cancel(Callback callback) { callback_ = std::move(callback); }

    /// Sets a check whether the caller has gone; it must stay valid as long as the signal is used.
    void set_probe(std::function<bool()> caller_has_gone) { caller_has_gone_ = std::move(caller_has_gone); }
    /// Checks whether the caller has gone, and cancels if so: a process that is short of time reads the end
    /// of a connection late, after a request that came on it. Returns whether the signal is cancelled.
    bool check() {
        if (!cancelled_ && caller_has_gone_ && caller_has_gone_()) {
            cancel();
        }
        return cancelled_;
    }

  private:
    bool cancelled_ = false;
    Callback callback_;
    std::function<bool()> caller_has_gone_;
};

/// Clears the callback of a signal when the scope ends.
class CancelSubscription {
  public:
    CancelSubscription(CancelSignal* signal, CancelSignal::Callback callback);
    ~CancelSubscription();
    CancelSubscription(const CancelSubscription&) = delete;
    CancelSubscription& operator=(const CancelSubscription&) = delete;

  private:
    CancelSignal* signal_;
};

}  // namespace anisehold::net
