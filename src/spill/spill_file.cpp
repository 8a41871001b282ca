#include "spill/spill_file.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <cstring>

#include "log/log.h"

namespace fernward::spill {

std::unique_ptr<SpillFile> SpillFolder::create() {
  int fd = open(path_.c_str(), O_TMPFILE | O_RDWR | O_CLOEXEC, 0600);
  if (fd < 0 && (errno == EOPNOTSUPP || errno == EISDIR || errno == EINVAL)) { // not on every file system
    std::string name = path_ + "/fernward-XXXXXX";
    fd = mkostemp(name.data(), O_CLOEXEC);
    if (fd >= 0) unlink(name.c_str());
  }
  if (fd < 0) {
    report_state(false, "cannot create a file");
    return nullptr;
  }
  return std::unique_ptr<SpillFile>(new SpillFile(*this, fd));
}

void SpillFolder::report_state(bool working, const char* problem) {
  if (working == !failing_) return;
  failing_ = !working;
  if (working) {
    log::line("body-folder-works", {{"path", path_}});
  } else { // bodies that need the folder are forwarded without being retained
    log::line("body-folder-fails", {{"path", path_}, {"what", problem}, {"why", std::strerror(errno)}});
  }
}

SpillFile::~SpillFile() { close(fd_); }

bool SpillFile::append(std::string_view bytes) {
  std::size_t written_bytes = 0;
  while (written_bytes < bytes.size()) {
    const auto result_bytes = pwrite(fd_, bytes.data() + written_bytes, bytes.size() - written_bytes,
                                     static_cast<off_t>(size_bytes_ + written_bytes));
    if (result_bytes < 0 && errno == EINTR) continue;
    // After a short write the remaining bytes are written again, which reports the error here.
    if (result_bytes <= 0) {
      folder_.report_state(false, "cannot write a file");
      return false;
    }
    written_bytes += static_cast<std::size_t>(result_bytes);
  }
  size_bytes_ += written_bytes;
  folder_.report_state(true, "");
  return true;
}

std::size_t SpillFile::read(std::uint64_t offset, char* buffer, std::size_t max_bytes) const {
  if (offset >= size_bytes_) return 0;
  max_bytes = static_cast<std::size_t>(std::min<std::uint64_t>(max_bytes, size_bytes_ - offset));
  for (;;) {
    const auto result_bytes = pread(fd_, buffer, max_bytes, static_cast<off_t>(offset));
    if (result_bytes < 0 && errno == EINTR) continue;
    if (result_bytes <= 0) folder_.report_state(false, "cannot read a file");
    return result_bytes > 0 ? static_cast<std::size_t>(result_bytes) : 0;
  }
}

} // namespace fernward::spill
