// Files that hold request bodies. They have no name in the file system, so that no file remains whatever
// happens to the process or to the folder. Reads and writes are system calls in the calling thread, so the
// folder should be on local storage.
//
// A disk fault (full, read-only, missing, a limit on files) is reported by the return value, and by one log
// line when the folder begins to fail and one when it works again.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace fernward::spill {

class SpillFolder;

class SpillFile {
 public:
  ~SpillFile();
  SpillFile(const SpillFile&) = delete;
  SpillFile& operator=(const SpillFile&) = delete;

  // Appends all of `bytes`. False: an error occurred, and the size of the file is unchanged.
  bool append(std::string_view bytes);
  // Reads up to `max_bytes` from `offset`. 0: the file ends there, or cannot be read.
  std::size_t read(std::uint64_t offset, char* buffer, std::size_t max_bytes) const;
  std::uint64_t size() const { return size_bytes_; }

 private:
  friend class SpillFolder;
  SpillFile(SpillFolder& folder, int fd) : folder_(folder), fd_(fd) {}
  SpillFolder& folder_;
  int fd_;
  std::uint64_t size_bytes_ = 0;
};

// Folder in which the files are created. Outlives its files.
class SpillFolder {
 public:
  explicit SpillFolder(std::string path) : path_(std::move(path)) {}
  SpillFolder(const SpillFolder&) = delete;
  SpillFolder& operator=(const SpillFolder&) = delete;

  std::unique_ptr<SpillFile> create(); // null: no file could be created
  bool failing() const { return failing_; }

 private:
  friend class SpillFile;
  void report_state(bool working, const char* problem);
  std::string path_;
  bool failing_ = false;
};

} // namespace fernward::spill
