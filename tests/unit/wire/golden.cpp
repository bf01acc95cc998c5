#include "golden.hpp"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace anisehold::golden {

namespace {

constexpr std::size_t kBytesPerLine = 16;

std::string golden_text(const std::string& file) {
    std::ifstream stream(std::string(ANISEHOLD_SOURCE_DIR) + "/tests/unit/wire/golden/" + file,
                         std::ios::binary);
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

void keep_actual(const std::string& file, const std::string& actual) {
    std::filesystem::create_directories("golden-actual");
    std::ofstream("golden-actual/" + file, std::ios::binary) << actual;
}

}  // namespace

std::string hex_dump(std::string_view bytes) {
    constexpr std::string_view digits = "0123456789abcdef";
    std::string dump;
    for (std::size_t start = 0; start < bytes.size(); start += kBytesPerLine) {
        const auto line = bytes.substr(start, kBytesPerLine);
        std::string text;
        for (const char character : line) {
            const auto byte = static_cast<unsigned char>(character);
            dump += digits[byte >> 4U];
            dump += digits[byte & 15U];
            dump += ' ';
            text += byte >= 0x20 && byte < 0x7f ? character : '.';
        }
        dump += ' ' + text + '\n';
    }
    return dump;
}

void check(const std::string& file, const std::string& actual) {
    const auto expected = golden_text(file);
    if (actual != expected) {
        keep_actual(file, actual);
    }
    INFO("golden file " << file);
    REQUIRE_FALSE(expected.empty());
    CHECK(actual == expected);
}

}  // namespace anisehold::golden
