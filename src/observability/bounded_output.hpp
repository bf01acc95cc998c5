/// @file
/// Log output that never blocks: lines wait in a bounded buffer, and those that don't fit are counted and
/// reported by the next one that does. Owns the buffer; the descriptor is the caller's.
#pragma once

#include <log4cplus/appender.h>

#include <cstddef>
#include <functional>
#include <string>

namespace anisehold::observability {

/// Writes lines to a descriptor as far as it takes them at once.
class BoundedOutput final : public log4cplus::Appender {
  public:
    /// Largest sum of lines that wait, in bytes. Chosen, not measured.
    static constexpr std::size_t kMostBufferedBytes = 256 * 1024;

    explicit BoundedOutput(int descriptor) : descriptor_(descriptor) {}
    ~BoundedOutput() override;

    /// `schedule` is called when lines begin to wait; it must bring about a later call of `flush`. Without
    /// it every line is written at once.
    void set_scheduler(std::function<void()> schedule) { schedule_ = std::move(schedule); }
    /// Writes what the descriptor takes without blocking.
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
