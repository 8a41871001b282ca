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
  std::size_t file_count = 0, input_count = 0;
  const auto run_input = [&](const std::vector<char>& bytes, std::size_t size) {
    LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(bytes.data()), size);
    ++input_count;
  };
  for (int i = 1; i < argc; ++i) {
    for (const auto& entry : std::filesystem::recursive_directory_iterator(argv[i])) {
      if (!entry.is_regular_file()) continue;
      std::ifstream in(entry.path(), std::ios::binary);
      std::vector<char> bytes{std::istreambuf_iterator<char>(in), {}};
      ++file_count;
      run_input(bytes, bytes.size());
      const std::size_t step = bytes.size() / 40 + 1;
      for (std::size_t position = 0; position < bytes.size(); position += step) {
        run_input(bytes, position);
        const char original = bytes[position];
        for (const char replacement : {'\0', '"', '[', '9', '\xff'}) {
          bytes[position] = replacement;
          run_input(bytes, bytes.size());
        }
        bytes[position] = original;
      }
    }
  }
  std::printf("%zu files, %zu inputs\n", file_count, input_count);
  return file_count > 0 ? 0 : 1;
}
