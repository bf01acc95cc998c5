/// @file
/// The table page that the admin port serves; its source is table_page.html beside this file.
#pragma once

#include <string_view>

namespace anisehold::daemon {

/// The whole page.
extern const std::string_view kTablePage;

}  // namespace anisehold::daemon
