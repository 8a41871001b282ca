// Files that bodies are kept in: without a name from the start, so that nothing is left of them, whatever
// becomes of the process or of the folder. Reads and writes are the system's, in the calling thread: the
// folder should be on local storage.
//
// A fault of the disk (full, read-only, gone, a limit on files) is told by the return value, and by one line
// in the log when the folder begins to fail and one when it works again.
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

  // All of it behind what is there, or false; then the file ends where it did.
  bool append(std::string_view bytes);
  // Up to `most` bytes from a place; 0: there are none, or they can't be read.
  std::size_t read(std::uint64_t at, char* into, std::size_t most) const;
  std::uint64_t size() const { return size_; }

 private:
  friend class Folder;
  File(Folder& folder, int fd) : folder_(folder), fd_(fd) {}
  Folder& folder_;
  int fd_;
  std::uint64_t size_ = 0;
};

class Folder { // outlives its files
 public:
  explicit Folder(std::string path) : path_(std::move(path)) {}
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;

  std::unique_ptr<File> create(); // null: it can't be done
  bool fails() const { return fails_; }

 private:
  friend class File;
  void tell(bool works, const char* what);
  std::string path_;
  bool fails_ = false;
};

} // namespace fernward::spill
