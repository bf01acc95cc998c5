/// @file
/// HTTP requests and responses as used outside net/, and the signal that a caller has disconnected. Beast is
/// used only inside net/. Plain values; client and server define the bytes on the wire.
#pragma once

#include <cstdint>
#include <functional>
#include <iterator>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

#include "protocol/time_types.hpp"

namespace anisehold::net {

/// One header field.
struct HeaderField {
    std::string name;
    std::string value;
};

/// A field of a `HeaderFields`; valid until that is changed.
struct HeaderFieldView {
    std::string_view name;
    std::string_view value;
};

/// Header fields in order; names are compared case-insensitively. The fields are stored as the lines that are
/// sent, because a sender may split a header into thousands of fields of a few bytes.
class HeaderFields {
  public:
    class Iterator {
      public:
        using iterator_category = std::input_iterator_tag;
        using value_type = HeaderFieldView;
        using difference_type = std::ptrdiff_t;
        using pointer = const HeaderFieldView*;
        using reference = const HeaderFieldView&;

        /// `lines`: the field, and those behind it.
        explicit Iterator(std::string_view lines) : lines_(lines) { parse(); }
        reference operator*() const { return field_; }
        pointer operator->() const { return &field_; }
        Iterator& operator++();
        bool operator==(const Iterator& other) const { return lines_.size() == other.lines_.size(); }

      private:
        void parse();

        std::string_view lines_;
        HeaderFieldView field_;
    };

    /// Returns the value of the first field with this name; valid until the fields are changed.
    std::optional<std::string_view> find(std::string_view name) const;
    /// Replaces all fields with this name by one.
    void set(std::string_view name, std::string_view value);
    /// Adds a field. Line breaks in the value become blanks.
    void add(std::string_view name, std::string_view value);
    void remove(std::string_view name);

    Iterator begin() const { return Iterator(lines_); }
    Iterator end() const { return Iterator({}); }
    /// The lines of all fields, each with its line break.
    const std::string& lines() const { return lines_; }

  private:
    std::string lines_;
};

/// Reads the part of a body that wasn't buffered.
class BodyReader {
  public:
    virtual ~BodyReader() = default;
    /// Reads up to `size` bytes. Returns 0 without an error at the end of the body; an error means that the
    /// body was truncated.
    virtual std::size_t read(char* data, std::size_t size, std::error_code& error) = 0;
    /// Makes reads fail from `deadline` on, however little time the sender pauses. Has no effect on a reader
    /// that has a deadline already.
    virtual void expire_at(TimePoint /*deadline*/) {}
};

/// Whether this status reports a server error (RFC 9110, 15.6).
inline bool is_server_error(unsigned status) {
    constexpr unsigned first_server_error = 500;
    return status >= first_server_error;
}

/// A message body: the buffered part, and a reader for the remainder of a large body.
struct Body {
    std::string prefix;
    std::unique_ptr<BodyReader> rest;     ///< Null if `prefix` is the whole body.
    std::optional<std::uint64_t> length;  ///< Total length in bytes, if declared by the sender.

    bool whole() const { return !rest; }
};

/// Maximum size of bodies that are buffered whole, checked for length, and may be sent again.
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
    bool connection_close = false;  ///< The sender closes the connection after this response.
    /// Time until which the receiver waits for the whole response; it isn't written for much longer.
    TimePoint needed_until = TimePoint::max();
};

/// Creates a response with a small body.
HttpResponse make_response(unsigned status, std::string content_type, std::string body);

/// Creates a request with a small body.
HttpRequest make_request(std::string method, std::string target, std::string body = {});

/// Notifies the holder of a call that the caller has disconnected. Not thread-safe.
class CancelSignal {
  public:
    using Callback = std::function<void()>;

    bool cancelled() const { return cancelled_; }
    /// Sets the signal and runs the callback, if there is one. Only the first call has an effect.
    void cancel();
    /// Sets the callback, of which there is one; an empty function clears it.
    void on_cancel(Callback callback) { callback_ = std::move(callback); }

    /// Sets a function that checks whether the caller has disconnected; it must stay valid as long as the
    /// signal is used.
    void set_probe(std::function<bool()> has_caller_disconnected) {
        has_caller_disconnected_ = std::move(has_caller_disconnected);
    }
    /// Checks whether the caller has disconnected, and cancels if so: a process that is short of processor
    /// time may read the end of a connection later than a request from the same connection. Returns whether
    /// the signal is canceled.
    bool check() {
        if (!cancelled_ && has_caller_disconnected_ && has_caller_disconnected_()) {
            cancel();
        }
        return cancelled_;
    }

  private:
    bool cancelled_ = false;
    Callback callback_;
    std::function<bool()> has_caller_disconnected_;
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
