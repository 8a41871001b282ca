// The command line of fernward-lab: exit codes, messages and the files that it writes.
#include <doctest/doctest.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <thread>

namespace fs = std::filesystem;

namespace {

const std::string kSource = FERNWARD_SOURCE_DIR;
const std::string kFleet = kSource + "/tests/corpus/lab/fleet.toml";

struct Folder {
  Folder() {
    char name[] = "/tmp/fernward-test-XXXXXX";
    path = mkdtemp(name);
  }
  ~Folder() { fs::remove_all(path); }
  std::string operator/(const std::string& name) const { return (path / name).string(); }
  fs::path path;
};

std::string text_of(const std::string& path) {
  std::ifstream in(path);
  return {std::istreambuf_iterator<char>(in), {}};
}

struct Said {
  int code = -1;
  std::string out, err;
  bool has(const std::string& part) const { return (out + err).find(part) != std::string::npos; }
};

Said lab(const std::string& arguments, const std::string& before = "") {
  const Folder folder;
  const std::string line =
      before + " " + FERNWARD_LAB + " " + arguments + " >" + folder / "out" + " 2>" + folder / "err";
  const int status = std::system(line.c_str());
  return {WIFEXITED(status) ? WEXITSTATUS(status) : -1, text_of(folder / "out"), text_of(folder / "err")};
}

} // namespace

TEST_CASE("usage errors exit with 2 and a reason and file errors exit with 1 and a position") {
  const struct {
    std::string arguments;
    int code;
    const char* says;
  } cases[] = {
      {"", 2, "Usage"},
      {"--help", 0, "compare"},
      {"version", 0, "fernward-lab "},
      {"play", 2, "no command \"play\""},
      {"run", 2, "one scenario is wanted"},
      {"run a b", 2, "one scenario is wanted"},
      {"run --speed 3 " + kFleet, 2, "speed"},
      {"run --driver wooden " + kFleet, 2, "virtual or sockets"},
      {"run --program x " + kFleet, 2, "--driver sockets"},
      {"run --seed x " + kFleet, 2, "no number"},
      {"run --help", 0, "--seed"},
      {"sweep --seeds 5..2 " + kFleet, 2, "seeds 5..2"},
      {"sweep --vary rate " + kFleet, 2, "KEY=VALUE,VALUE"},
      {"compare " + kFleet, 2, "A and B are alike"},
      {"compare --program-a x " + kFleet, 2, "--driver sockets"},
      {"try --seconds 0.1", 2, "--seconds"},
      {"cost --rounds 0", 2, "--rounds"},
      {"cost --targets 14,some", 2, "is no number"},
      {"relay --listen 127.0.0.1:0", 2, "go together"},
      {"relay --listen nowhere --target 127.0.0.1:1", 1, "no address: nowhere"},
      {"check", 2, "no scenario"},
      {"check " + kFleet, 0, "sound"},
      {"check " + kSource + "/scenarios/crowded-discovery.toml", 1, "is played on sockets only"},
      {"check --driver sockets " + kSource + "/scenarios/crowded-discovery.toml", 0, "sound"},
      {"run --driver sockets --set routers.sharing.on=true --set routers.groups[0].count=65 " + kFleet, 1,
       "64 can be played that share"},
      {"check " + kSource + "/tests/corpus/lab/units.toml", 1,
       "units.toml:12:8: load.rate: has the wrong unit"},
      {"run /nowhere.toml", 1, "/nowhere.toml:1:1: (file): can't be read"},
      {"run --set load.rate=fast " + kFleet, 1, "load.rate: must be a rate"},
      {"sweep --vary load.rate=100/s,fast " + kFleet, 1, "load.rate: must be a rate"},
      {"run --driver sockets --set load.rate=30000/s " + kFleet, 1, "this machine can offer 20000/s"},
      {"report " + kFleet, 1, "fleet.toml"},
      {"keys", 0, "### Event `lost-zone`"},
  };
  for (const auto& c : cases) {
    CAPTURE(c.arguments);
    const Said said = lab(c.arguments);
    INFO(said.out << said.err);
    CHECK(said.code == c.code);
    CHECK(said.has(c.says));
  }
}

TEST_CASE("a saved run reproduces its results and report and a missed bound exits with 1") {
  const Folder folder;
  const Said good = lab("run --seed 7 --set duration=3s --out " + folder / "a" + " " + kFleet);
  INFO(good.out << good.err);
  CHECK(good.code == 0);
  CHECK(good.has("GOOD"));
  CHECK(good.has("report: " + folder / "a/report.html"));
  // The saved scenario reproduces the same run.
  CHECK(lab("run --out " + folder / "b" + " " + folder / "a/scenario.toml").code == 0);
  auto a = nlohmann::json::parse(text_of(folder / "a/run.json"));
  auto b = nlohmann::json::parse(text_of(folder / "b/run.json"));
  CHECK(a["seed"] == 7);
  CHECK(a["figures"] == b["figures"]);
  CHECK(a["findings"] == b["findings"]);

  fs::remove(folder / "a/report.html");
  CHECK(lab("report " + folder / "a/run.json").code == 0);
  CHECK(text_of(folder / "a/report.html").find("<svg") != std::string::npos);
  const Said plain = lab("report " + folder / "a/run.json", "PATH=/nowhere");
  CHECK(plain.code == 0);
  CHECK(plain.has("it has no plots: gnuplot can't be started"));

  std::ofstream(folder / "strict.toml")
      << "base = \"" << kFleet
      << "\"\nduration = \"3s\"\n[[holds.bounds]]\nmetric = \"latency\"\nat_most = \"1ms\"\n";
  const Said bad = lab("run " + folder / "strict.toml");
  CHECK(bad.code == 1);
  CHECK(bad.has("MISSED"));
  CHECK(bad.has("BAD: 1 bound does not hold"));
}

TEST_CASE("a sweep is the same with one and four jobs and a comparison reports only real differences") {
  const Folder folder;
  const std::string sweep = "sweep --set duration=2s --vary load.rate=100/s,300/s --seeds 1..3 ";
  const Said one = lab(sweep + "--jobs 1 --out " + folder / "one" + " " + kFleet);
  const Said four = lab(sweep + "--jobs 4 --out " + folder / "four" + " " + kFleet);
  INFO(one.out << one.err);
  CHECK(one.code == 0);
  const std::string csv = text_of(folder / "one/sweep.csv");
  CHECK(csv == text_of(folder / "four/sweep.csv"));
  CHECK(csv.find("\"load.rate=100/s\",1,0,1,1,") < csv.find("\"load.rate=300/s\",3,0,1,1,"));
  CHECK(std::count(csv.begin(), csv.end(), '\n') == 7);

  const Said worse = lab("compare --set duration=3s --seeds 1..6 --set-b origin.time=900ms " + kFleet);
  INFO(worse.out << worse.err);
  CHECK(worse.code == 0);
  CHECK(worse.has("B is worse by the score"));
  const Said same = lab("compare --set duration=2s --seeds 1..4 --set-b routers.open_cap=19999 " + kFleet);
  CHECK(same.has("no difference seen by the score"));
  const Said single = lab("compare --set duration=2s --seeds 1 -b load.rate=300/s " + kFleet);
  CHECK(single.has("says nothing of chance"));
}

TEST_CASE("the try command writes a report and with --keep leaves the fleet running until SIGINT") {
  const Folder folder;
  const Said said = lab("try --seconds 2 --unlimited-memory --out " + folder / "out");
  INFO(said.out << said.err);
  CHECK(said.has("2 routers are ready"));
  CHECK(said.has("served"));
  CHECK(said.has("report: " + folder / "out/report.html"));
  // On a busy machine the rig may be late, which makes the run VOID; no rule may be broken.
  CHECK((said.code == 0 || said.has("VOID")));
  CHECK_FALSE(said.has("BROKEN"));

  const std::string out = folder / "kept";
  const pid_t kept = fork();
  if (kept == 0) {
    dup2(open(out.c_str(), O_WRONLY | O_CREAT, 0600), STDOUT_FILENO);
    execl(FERNWARD_LAB, FERNWARD_LAB, "try", "--seconds", "1", "--keep", "--unlimited-memory", "--out",
          (folder / "again").c_str(), nullptr);
    _exit(127);
  }
  const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(60);
  while (text_of(out).find("curl -i") == std::string::npos && std::chrono::steady_clock::now() < until) {
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  const std::string text = text_of(out);
  const std::size_t at = text.find("http://");
  REQUIRE(at != std::string::npos);
  const std::string address = text.substr(at + 7, text.find('/', at + 7) - at - 7);
  CHECK(address.starts_with("127."));
  // A raw request through the sockets of bash, as curl would send it.
  const std::string ask =
      "bash -c 'exec 3<>/dev/tcp/" + address.substr(0, address.find(':')) + "/" +
      address.substr(address.find(':') + 1) +
      "; printf \"GET /api/7f3a9c21 HTTP/1.1\\r\\nHost: x\\r\\nX-Request-ID: 77\\r\\n"
      "X-Priority-Class: lookup\\r\\nX-Tenant-Id: harbour\\r\\nX-Timeout-Ms: 2000\\r\\n\\r\\n\" >&3; "
      "head -n 1 <&3' >" +
      folder / "answer";
  CHECK(std::system(ask.c_str()) == 0);
  CHECK(text_of(folder / "answer").starts_with("HTTP/1.1 200"));
  kill(kept, SIGINT);
  int status = 0;
  waitpid(kept, &status, 0);
  CHECK(WIFEXITED(status));
  CHECK(fs::exists(folder / "again/report.html"));
}
