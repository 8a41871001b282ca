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

class Folder;

class File {
 public:
  ~File();
  File(const File&) = delete;
  File& operator=(const File&) = delete;

  // Appends all of `bytes`. False: an error occurred, and the size of the file is unchanged.
  bool append(std::string_view bytes);
  // Reads up to `max_bytes` from `offset`. 0: the file ends there, or cannot be read.
  std::size_t read(std::uint64_t at, char* into, std::size_t most) const;
  std::uint64_t size() const { return size_; }

 private:
  friend class Folder;
  File(Folder& folder, int fd) : folder_(folder), fd_(fd) {}
  Folder& folder_;
  int fd_;
  std::uint64_t size_ = 0;
};

// Folder in which the files are created. Outlives its files.
class Folder {
 public:
  explicit Folder(std::string path) : path_(std::move(path)) {}
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;

  std::unique_ptr<File> create(); // null: no file could be created
  bool fails() const { return fails_; }

 private:
  friend class File;
  void tell(bool works, const char* what);
  std::string path_;
  bool fails_ = false;
};

} // namespace fernward::spill
