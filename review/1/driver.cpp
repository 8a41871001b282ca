// A client gets the answer to another client's request.
//
// Caches, an origin and discovery; one router; clients that look up and book, each on a kept connection. There are
// four zones with a cache each; the origin is in another zone than the router. The network takes 0.2 ms one way
// within a zone and 6 to 10 ms between zones. The disruption: behind one good answer in fifty a cache
// or the origin sends a second copy of it, some milliseconds late, and only if nothing else waits on the
// connection then.
#include <memory>
#include <random>

#include "standin.h"

namespace {

using namespace review;

// One way to each cache and to the origin. The pages: 5.6 to 10 ms between data centres, less than 0.4 ms within.
constexpr double kOneWayMs[] = {0.2, 6, 8, 10, 6};
constexpr double kCopyShare = 0.02;
constexpr double kCopyMinMs = 2, kCopyMaxMs = 8; // how late the copy comes
constexpr int kCaches = 4, kClients = 24;
constexpr double kPauseMs = 80, kRunMs = 15000;

std::mt19937& random_source() {
  thread_local std::mt19937 source(std::random_device{}());
  return source;
}
double uniform(double low, double high) {
  return std::uniform_real_distribution<double>(low, high)(random_source());
}

// A cache that has every key, or the origin. The answer names its request.
class Store {
 public:
  Store(Record& record, std::string name, double work_ms, double one_way_ms, bool trouble)
      : record_(record),
        name_(std::move(name)),
        work_ms_(work_ms),
        trouble_(trouble),
        server_([this](int fd) { serve(fd); }),
        network_(server_.port(), one_way_ms) {}
  int port() const { return network_.port(); }
  int copies() const { return copies_; }
  int answers() const { return answers_; }

 private:
  void serve(int fd) {
    Reader reader(fd);
    Message request;
    while (reader.read(request, now_ms() + 120000) == Read::Whole) {
      sleep_ms(work_ms_ * uniform(0.7, 1.3));
      const std::string id = request.header("x-request-id");
      const std::string answer =
          response(200, request.word(0) + " " + request.word(1) + " for " + id + " by " + name_ + "\n");
      ++answers_;
      record_.line("%s: ran %s %s", name_.c_str(), request.word(0).c_str(), id.c_str());
      if (!write_all(fd, answer)) break;
      if (!trouble_ || uniform(0, 1) >= kCopyShare) continue;
      const double late_ms = uniform(kCopyMinMs, kCopyMaxMs);
      if (reader.has_leftover() || wait_readable(fd, late_ms)) continue; // something else waits: no copy
      ++copies_;
      record_.line("%s: answer to %s sent again after %.1f ms", name_.c_str(), id.c_str(), late_ms);
      if (!write_all(fd, answer)) break;
    }
    close(fd);
  }
  Record& record_;
  std::string name_;
  double work_ms_;
  bool trouble_;
  std::atomic<int> copies_ = 0, answers_ = 0;
  Server server_;
  DelayedNetwork network_;
};

struct Counts {
  std::atomic<int> served = 0, foreign = 0, other = 0;
};

void run_client(int number, int port, double until_ms, Record& record, Counts& counts) {
  int fd = -1;
  std::unique_ptr<Reader> reader;
  for (int i = 0; now_ms() < until_ms; ++i) {
    sleep_ms(uniform(0.2, 1.8) * kPauseMs);
    const std::string id = "c" + std::to_string(number) + "-" + std::to_string(i);
    const bool books = uniform(0, 1) < 0.05;
    const std::string path = "/api/slot-" + std::to_string(static_cast<int>(uniform(0, 200)));
    std::string text = (books ? "PUT " : "GET ") + path + " HTTP/1.1\r\nHost: r\r\nX-Request-ID: " + id +
                       "\r\nX-Timeout-Ms: 1500\r\nX-Priority-Class: " + (books ? "book" : "lookup") + "\r\n";
    if (books) text += "Idempotency-Key: key-" + id + "\r\nContent-Length: 4\r\n";
    text += books ? "\r\nbook" : "\r\n";
    if (fd < 0) {
      fd = connect_to(port);
      reader = std::make_unique<Reader>(fd);
    }
    record.line("client: sends %s %s %s", books ? "PUT" : "GET", path.c_str(), id.c_str());
    Message answer;
    const Read result = fd >= 0 && write_all(fd, text) ? reader->read(answer, now_ms() + 2000) : Read::End;
    if (result != Read::Whole || answer.status() != 200) {
      ++counts.other;
      record.line("client: %s was answered with %d", id.c_str(), result == Read::Whole ? answer.status() : 0);
    } else if (answer.body.find(" for " + id + " by ") != std::string::npos) {
      ++counts.served;
      record.line("client: %s was answered with 200, its own answer", id.c_str());
    } else {
      ++counts.foreign;
      record.line("client: %s %s %s was answered with 200, the answer to ANOTHER request: \"%s\"",
                  books ? "PUT" : "GET", path.c_str(), id.c_str(),
                  answer.body.substr(0, answer.body.find('\n')).c_str());
    }
    if (result != Read::Whole || answer.header("connection") == "close") {
      close(fd);
      fd = -1;
    }
  }
}

} // namespace

int main(int argc, char** argv) {
  const Site site = read_site(argc, argv);
  Record record(site.folder + "/record.txt");
  record.line("trouble: %s",
              site.trouble ? "some answers are sent a second time, some milliseconds late" : "none");
  std::vector<std::unique_ptr<Store>> stores;
  std::vector<Endpoint> endpoints;
  for (int i = 0; i <= kCaches; ++i) {
    const bool origin = i == kCaches;
    const std::string name = origin ? "s-0419140f" : "s-ca00000" + std::to_string(i);
    stores.push_back(std::make_unique<Store>(record, name, origin ? 60 : 25, kOneWayMs[i], site.trouble));
    endpoints.push_back(
        {name, origin ? "origin" : "cache", stores.back()->port(), std::string(1, "abcdb"[i])});
  }
  Discovery discovery(endpoints);
  const int port = free_port();
  RouterProcess router(site, "router", port, 0, discovery, settings_json());
  if (!wait_ready(port, 20000)) finish(record, kCouldNotRun, "the router did not become ready");

  Counts counts;
  std::vector<std::thread> clients;
  const double until_ms = now_ms() + kRunMs;
  for (int i = 0; i < kClients; ++i)
    clients.emplace_back([&, i] { run_client(i, port, until_ms, record, counts); });
  for (std::thread& client : clients) client.join();
  if (router.ended()) finish(record, kBroken, "the router ended");
  int copies = 0, answers = 0;
  for (const auto& store : stores) copies += store->copies(), answers += store->answers();
  record.line("servers: %d answers, %d of them sent a second time", answers, copies);
  const std::string text = std::to_string(counts.served) + " clients got their own answer, " +
                           std::to_string(counts.foreign) + " that of another request, " +
                           std::to_string(counts.other) + " an error or none";
  if (counts.served < 1000) finish(record, kCouldNotRun, "too few requests were served: " + text);
  finish(record, counts.foreign > 0 ? kBroken : kHeld, text);
}
