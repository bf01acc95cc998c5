/// @file
/// Non-blocking log output: lines wait in a bounded buffer, and lines that do not fit are counted and
/// reported with the next line that does. Owns the buffer; the caller owns the descriptor. Relies on
/// log4cplus.
#pragma once

#include <log4cplus/appender.h>

#include <cstddef>
#include <functional>
#include <string>

namespace anisehold::observability {

/// Writes lines to a descriptor as far as possible without blocking.
class BoundedOutput final : public log4cplus::Appender {
  public:
    /// Maximum size of the buffered lines.
    static constexpr std::size_t kMaxBufferedBytes = 256 * 1024;

    explicit BoundedOutput(int descriptor) : descriptor_(descriptor) {}
    ~BoundedOutput() override;

    /// `schedule` is called when the buffer becomes non-empty and must arrange a later call of `flush`.
    /// Without a scheduler every line is written immediately.
    void set_scheduler(std::function<void()> schedule) { schedule_ = std::move(schedule); }
    /// Writes as much of the buffer as possible without blocking.
    void flush();
    void close() override;

  protected:
    void append(const log4cplus::spi::InternalLoggingEvent& event) override;

  private:
    int descriptor_;
    std::string buffer_;
    std::size_t dropped_lines_ = 0;
    std::function<void()> schedule_;
};

}  // namespace anisehold::observability
