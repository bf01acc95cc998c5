/// @file
/// How far a planned stop of this daemon has come.
#pragma once

namespace anisehold::sidecar {

/// Moved by planned_stop.cpp alone; the other parts ask.
class StopState {
  public:
    /// A stop has begun: readiness is denied, and what runs periodically ends.
    bool has_begun() const { return has_begun_; }
    /// Peers are asked to send nothing more.
    bool is_leaving() const { return is_leaving_; }

    void begin() { has_begun_ = true; }
    void leave() { is_leaving_ = true; }

  private:
    bool has_begun_ = false;
    bool is_leaving_ = false;
};

}  // namespace anisehold::sidecar
