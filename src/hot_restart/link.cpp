#include "hot_restart/link.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <stdexcept>
#include <utility>

#include "log/log.h"

namespace fernward::hot_restart {
namespace {

constexpr timeval kAcceptPause{0, 50000};
constexpr std::size_t kPiece = 64 << 10;
constexpr std::size_t kMostBeside = 8; // descriptors taken with one read; each frame brings one at most

bool place(const std::string& path, sockaddr_un& where) {
  where = {};
  where.sun_family = AF_UNIX;
  if (path.empty() || path.size() >= sizeof where.sun_path) return false;
  std::memcpy(where.sun_path, path.c_str(), path.size() + 1);
  return true;
}

// Only the same user's process may replace this one.
bool ours(int socket) {
  ucred peer{};
  socklen_t size = sizeof peer;
  return getsockopt(socket, SOL_SOCKET, SO_PEERCRED, &peer, &size) == 0 && peer.uid == geteuid();
}

bool again() { return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR; }

// Bytes that left; 0: none can now; below 0: the other side has gone.
ssize_t send_part(int socket, std::string_view bytes, int beside) {
  iovec part{const_cast<char*>(bytes.data()), bytes.size()};
  msghdr message{};
  message.msg_iov = &part;
  message.msg_iovlen = 1;
  alignas(cmsghdr) char control[CMSG_SPACE(sizeof(int))] = {};
  if (beside >= 0) {
    message.msg_control = control;
    message.msg_controllen = sizeof control;
    cmsghdr* header = CMSG_FIRSTHDR(&message);
    header->cmsg_level = SOL_SOCKET;
    header->cmsg_type = SCM_RIGHTS;
    header->cmsg_len = CMSG_LEN(sizeof(int));
    std::memcpy(CMSG_DATA(header), &beside, sizeof beside);
  }
  const auto n = sendmsg(socket, &message, MSG_DONTWAIT | MSG_NOSIGNAL);
  // Too many descriptors on their way: the other side takes them first.
  return n >= 0 ? n : again() || errno == ETOOMANYREFS ? 0 : -1;
}

} // namespace

Descriptor& Descriptor::operator=(Descriptor&& other) noexcept {
  if (this == &other) return *this;
  if (fd_ >= 0) ::close(fd_);
  fd_ = other.release();
  return *this;
}

Descriptor::~Descriptor() {
  if (fd_ >= 0) ::close(fd_);
}

// ---- what comes ----

Incoming::Got Incoming::receive(int socket) {
  char bytes[kPiece];
  iovec part{bytes, sizeof bytes};
  alignas(cmsghdr) char control[CMSG_SPACE(kMostBeside * sizeof(int))];
  msghdr message{};
  message.msg_iov = &part;
  message.msg_iovlen = 1;
  message.msg_control = control;
  message.msg_controllen = sizeof control;
  const auto n = recvmsg(socket, &message, MSG_DONTWAIT | MSG_CMSG_CLOEXEC);
  if (n < 0) return again() ? Got::Nothing : Got::Ended;
  for (cmsghdr* header = CMSG_FIRSTHDR(&message); header != nullptr; header = CMSG_NXTHDR(&message, header)) {
    if (header->cmsg_level != SOL_SOCKET || header->cmsg_type != SCM_RIGHTS) continue;
    const std::size_t count = (header->cmsg_len - CMSG_LEN(0)) / sizeof(int);
    for (std::size_t i = 0; i < count; ++i) {
      int fd = -1;
      std::memcpy(&fd, CMSG_DATA(header) + i * sizeof fd, sizeof fd);
      descriptors_.emplace_back(fd);
    }
  }
  if ((message.msg_flags & MSG_CTRUNC) != 0) fault_ = "descriptors lost";
  if (n == 0) return Got::Ended;
  bytes_.append(bytes, static_cast<std::size_t>(n));
  return Got::Some;
}

std::optional<Message> Incoming::next(Descriptor& beside) {
  if (!fault_.empty()) return std::nullopt;
  Decoded decoded = decode(bytes_);
  fault_ = decoded.fault;
  if (!decoded.message) return std::nullopt;
  bytes_.erase(0, decoded.used);
  if (std::holds_alternative<Welcome>(*decoded.message) || std::holds_alternative<Client>(*decoded.message)) {
    if (descriptors_.empty()) {
      fault_ = "no descriptor";
      return std::nullopt;
    }
    beside = std::move(descriptors_.front());
    descriptors_.pop_front();
  }
  return std::move(decoded.message);
}

// ---- the channel ----

Channel::Channel(event_base* base, Descriptor socket, Take take, Ended ended, Incoming before)
    : socket_(std::move(socket)),
      take_(std::move(take)),
      ended_(std::move(ended)),
      in_(std::move(before)),
      reads_(event_new(base, socket_.get(), EV_READ | EV_PERSIST, &Channel::readable, this)),
      writes_(event_new(base, socket_.get(), EV_WRITE, &Channel::writable, this)) {
  if (reads_ == nullptr || writes_ == nullptr) throw std::bad_alloc();
  event_add(reads_.get(), nullptr);
  event_active(reads_.get(), EV_READ, 0); // what came before
}

void Channel::readable(int, short, void* self) { static_cast<Channel*>(self)->read(); }
void Channel::writable(int, short, void* self) { static_cast<Channel*>(self)->write(); }

void Channel::read() {
  for (bool open = true; open && !over_;) {
    const Incoming::Got got = in_.receive(socket_.get());
    Descriptor beside;
    for (auto message = in_.next(beside); message; message = in_.next(beside)) {
      take_(std::move(*message), std::move(beside));
      if (over_) return;
    }
    if (!in_.fault().empty()) return end(in_.fault());
    if (got == Incoming::Got::Ended) return end("");
    open = got == Incoming::Got::Some;
  }
}

void Channel::send(const Message& message, Descriptor beside) {
  if (over_) return;
  out_.push_back({encode(message), 0, std::move(beside)});
  if (out_.size() == 1) write();
}

void Channel::write() {
  while (!out_.empty()) {
    Out& out = out_.front();
    const auto n = send_part(socket_.get(), std::string_view(out.bytes).substr(out.gone), out.beside.get());
    if (n < 0) {
      out_.clear();
      event_active(reads_.get(), EV_READ, 0); // which finds the end, from the loop
      return;
    }
    if (n == 0) {
      event_add(writes_.get(), nullptr);
      return;
    }
    out.beside = Descriptor(); // it went with the first byte
    out.gone += static_cast<std::size_t>(n);
    if (out.gone == out.bytes.size()) out_.pop_front();
  }
}

void Channel::end(const std::string& why) {
  if (std::exchange(over_, true)) return;
  event_del(reads_.get());
  event_del(writes_.get());
  out_.clear();
  ended_(why); // may end this
}

// ---- the door ----

Door::Door(event_base* base, const std::string& path, Came came) : path_(path), came_(std::move(came)) {
  const std::string own = path + "." + std::to_string(getpid());
  const auto fail = [&](const char* what) {
    throw std::runtime_error(std::string(what) + " " + own + ": " + std::strerror(errno));
  };
  sockaddr_un where{};
  errno = ENAMETOOLONG;
  if (!place(own, where)) fail("bind");
  socket_ = Descriptor(socket(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  ::unlink(own.c_str()); // of a process of the same number, long gone
  if (!socket_ || bind(socket_.get(), reinterpret_cast<const sockaddr*>(&where), sizeof where) != 0)
    fail("bind");
  struct stat made {};
  if (chmod(own.c_str(), 0600) != 0 || listen(socket_.get(), 4) != 0 || stat(own.c_str(), &made) != 0 ||
      std::rename(own.c_str(), path.c_str()) != 0) {
    const int why = errno;
    ::unlink(own.c_str());
    errno = why;
    fail("listen");
  }
  inode_ = made.st_ino;
  listening_.reset(event_new(base, socket_.get(), EV_READ | EV_PERSIST, &Door::accepted, this));
  again_.reset(event_new(base, -1, 0, &Door::listen_again, this));
  if (listening_ == nullptr || again_ == nullptr) throw std::bad_alloc();
  event_add(listening_.get(), nullptr);
}

Door::~Door() {
  struct stat now {};
  if (stat(path_.c_str(), &now) == 0 && now.st_ino == inode_) ::unlink(path_.c_str());
}

void Door::accepted(int listening, short, void* self) {
  Descriptor came(accept4(listening, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (!came) { // it would be found again at once, as long as no descriptor is left
    event_del(static_cast<Door*>(self)->listening_.get());
    event_add(static_cast<Door*>(self)->again_.get(), &kAcceptPause);
    return;
  }
  if (!ours(came.get())) return log::line("handover-refused", {{"why", "another user's process"}});
  static_cast<Door*>(self)->came_(std::move(came));
}

void Door::listen_again(int, short, void* self) {
  event_add(static_cast<Door*>(self)->listening_.get(), nullptr);
}

// ---- the new process ----

std::optional<Inherited> ask(const std::string& path, const Hello& hello, double patience_ms,
                             std::string& why) {
  why.clear();
  sockaddr_un where{};
  if (!place(path, where)) return std::nullopt;
  Inherited out;
  out.channel = Descriptor(socket(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!out.channel ||
      connect(out.channel.get(), reinterpret_cast<const sockaddr*>(&where), sizeof where) != 0) {
    if (errno != ENOENT && errno != ECONNREFUSED) why = std::strerror(errno); // else nobody is there any more
    return std::nullopt;
  }
  if (!ours(out.channel.get())) {
    why = "another user's process";
    return std::nullopt;
  }
  const std::string text = encode(hello);
  if (send_part(out.channel.get(), text, -1) != static_cast<ssize_t>(text.size())) {
    why = "it does not take the question";
    return std::nullopt;
  }
  const double end = loop::now_ms() + patience_ms;
  for (;;) {
    const double left = end - loop::now_ms();
    pollfd wait{out.channel.get(), POLLIN, 0};
    if (left <= 0 || poll(&wait, 1, static_cast<int>(left) + 1) == 0) {
      why = "no answer in time";
      return std::nullopt;
    }
    const Incoming::Got got = out.rest.receive(out.channel.get());
    auto message = out.rest.next(out.listening);
    if (message) {
      if (auto* welcome = std::get_if<Welcome>(&*message)) {
        out.welcome = std::move(*welcome);
        return out;
      }
      why = "not a welcome";
      return std::nullopt;
    }
    if (!out.rest.fault().empty()) why = out.rest.fault();
    if (why.empty() && got == Incoming::Got::Ended) why = "it ended";
    if (!why.empty()) return std::nullopt;
  }
}

} // namespace fernward::hot_restart
