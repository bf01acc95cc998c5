#include "wire_samples.hpp"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <sstream>

namespace anisehold::golden {
namespace {

constexpr std::size_t kDumpedPerLine = 16;
constexpr std::size_t kDigitsPerByte = 3;
constexpr int kHexadecimal = 16;

std::string bytes_of_line(const std::string& line) {
    std::string bytes;
    for (std::size_t index = 0; index < kDumpedPerLine; ++index) {
        const auto pair = line.substr(std::min(line.size(), index * kDigitsPerByte), 2);
        unsigned value = 0;
        const auto [end, error] =
            std::from_chars(pair.data(), pair.data() + pair.size(), value, kHexadecimal);
        if (pair.size() < 2 || error != std::errc{} || end != pair.data() + pair.size()) {
            break;
        }
        bytes.push_back(static_cast<char>(value));
    }
    return bytes;
}

}  // namespace

std::string dump_of(const std::vector<Sample>& samples) {
    std::string text;
    for (const auto& sample : samples) {
        text += sample.name + '\n' + hex_dump(sample.bytes) + '\n';
    }
    return text;
}

std::string text_of(const std::vector<Sample>& samples) {
    std::string text;
    for (const auto& sample : samples) {
        text += sample.name + '\n' + sample.bytes + "\n\n";
    }
    return text;
}

std::string content_of(const std::string& file) {
    std::ifstream stream(std::string(ANISEHOLD_SOURCE_DIR) + "/tests/unit/wire/golden/" + file,
                         std::ios::binary);
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

std::vector<Sample> dumped_in(const std::string& file) {
    std::vector<Sample> samples;
    std::istringstream lines(content_of(file));
    for (std::string line; std::getline(lines, line);) {
        Sample sample{line, ""};
        while (std::getline(lines, line) && !line.empty()) {
            sample.bytes += bytes_of_line(line);
        }
        samples.push_back(sample);
    }
    return samples;
}

std::vector<Sample> texts_in(const std::string& file) {
    std::vector<Sample> samples;
    std::istringstream lines(content_of(file));
    for (std::string line; std::getline(lines, line);) {
        Sample sample{line, ""};
        std::getline(lines, sample.bytes);
        std::getline(lines, line);
        samples.push_back(sample);
    }
    return samples;
}

}  // namespace anisehold::golden
