#include "tests/support/run_folder.hpp"

#include <unistd.h>

#include <boost/filesystem.hpp>
#include <cstdlib>
#include <iostream>
#include <utility>

namespace anisehold::testing {
namespace {

std::vector<std::string>& folders_made() {
    static std::vector<std::string> folders;
    return folders;
}

}  // namespace

std::string make_run_folder(const std::string& name) {
    static unsigned number = 0;
    auto folder = std::string(ANISEHOLD_BINARY_DIR) + "/runs/" + name + "-" + std::to_string(getpid()) + "-" +
                  std::to_string(++number);
    boost::filesystem::create_directories(folder);
    folders_made().push_back(folder);
    return folder;
}

std::vector<std::string> take_run_folders() {
    return std::exchange(folders_made(), {});
}

void remove_run_folders(const std::vector<std::string>& folders) {
    if (std::getenv("ANISEHOLD_KEEP_LOGS") != nullptr) {
        return;
    }
    for (const auto& folder : folders) {
        boost::system::error_code error;
        boost::filesystem::remove_all(folder, error);
        if (error) {
            std::cerr << folder << ": not removed: " << error.message() << "\n";
        }
    }
}

std::uint16_t shifted_port(std::uint16_t port) {
    const char* text = std::getenv("ANISEHOLD_PORT_SHIFT");
    return static_cast<std::uint16_t>(port + (text == nullptr ? 0 : std::atoi(text)));
}

void keep_earlier_output(const std::string& file) {
    if (!boost::filesystem::exists(file)) {
        return;
    }
    unsigned number = 1;
    while (boost::filesystem::exists(file + "." + std::to_string(number))) {
        ++number;
    }
    boost::filesystem::rename(file, file + "." + std::to_string(number));
}

}  // namespace anisehold::testing
