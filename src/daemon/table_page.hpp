/// @file
/// The table page that the admin port serves; the source is table_page.html in this folder.
#pragma once

#include <string_view>

namespace anisehold::daemon {

/// The HTML text of the page.
extern const std::string_view kTablePage;

}  // namespace anisehold::daemon
