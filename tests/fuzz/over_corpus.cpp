// Replaces libFuzzer: runs the target over each file in the given folders, unchanged, truncated at many
// lengths, and with single bytes changed.
#include <cstdint>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <vector>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size);

int main(int argc, char** argv) {
  std::size_t files = 0, inputs = 0;
  const auto run = [&](const std::vector<char>& bytes, std::size_t size) {
    LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(bytes.data()), size);
    ++inputs;
  };
  for (int i = 1; i < argc; ++i) {
    for (const auto& entry : std::filesystem::recursive_directory_iterator(argv[i])) {
      if (!entry.is_regular_file()) continue;
      std::ifstream in(entry.path(), std::ios::binary);
      std::vector<char> bytes{std::istreambuf_iterator<char>(in), {}};
      ++files;
      run(bytes, bytes.size());
      const std::size_t step = bytes.size() / 40 + 1;
      for (std::size_t at = 0; at < bytes.size(); at += step) {
        run(bytes, at);
        const char was = bytes[at];
        for (const char other : {'\0', '"', '[', '9', '\xff'}) {
          bytes[at] = other;
          run(bytes, bytes.size());
        }
        bytes[at] = was;
      }
    }
  }
  std::printf("%zu files, %zu inputs\n", files, inputs);
  return files > 0 ? 0 : 1;
}
