/// @file
/// Watches the settings file, and detects suspensions of the machine.
#pragma once

#include <string>

#include "observability/suspension.hpp"
#include "sidecar/call_ingress.hpp"
#include "sidecar/sidecar_context.hpp"

namespace anisehold::sidecar {

/// Owns the text of the settings as last read. Settings that may change at run time are written to the
/// context.
class SettingsWatch {
  public:
    SettingsWatch(SidecarContext& context, CallIngress& ingress, std::string settings_file);

    /// Checks the file once a second until a planned stop begins. Blocks its fiber.
    void run();

  private:
    /// Applies changed settings. Invalid settings are logged and ignored.
    void reload_settings();
    /// Logs a suspension of the machine since the last call.
    void check_suspension();

    SidecarContext& context_;
    CallIngress& ingress_;
    std::string settings_file_;
    std::string settings_text_;
    observability::SuspensionWatch suspension_;
};

}  // namespace anisehold::sidecar
