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

const std::string kSourceDir = FERNWARD_SOURCE_DIR;
const std::string kFleetFile = kSourceDir + "/tests/corpus/lab/fleet.toml";

struct TemporaryFolder {
  TemporaryFolder() {
    char name[] = "/tmp/fernward-test-XXXXXX";
    path = mkdtemp(name);
  }
  ~TemporaryFolder() { fs::remove_all(path); }
  std::string operator/(const std::string& name) const { return (path / name).string(); }
  fs::path path;
};

std::string read_file(const std::string& path) {
  std::ifstream in(path);
  return {std::istreambuf_iterator<char>(in), {}};
}

struct CommandResult {
  int exit_code = -1;
  std::string output, error_output;
  bool contains(const std::string& text) const {
    return (output + error_output).find(text) != std::string::npos;
  }
};

CommandResult run_lab(const std::string& arguments, const std::string& environment = "") {
  const TemporaryFolder output_folder;
  const std::string command_line = environment + " " + FERNWARD_LAB + " " + arguments + " >" +
                                   output_folder / "out" + " 2>" + output_folder / "err";
  const int status = std::system(command_line.c_str());
  return {WIFEXITED(status) ? WEXITSTATUS(status) : -1, read_file(output_folder / "out"),
          read_file(output_folder / "err")};
}

} // namespace

TEST_CASE("usage errors exit with 2 and a reason and file errors exit with 1 and a position") {
  const struct {
    std::string arguments;
    int code;
    const char* expected_text;
  } cases[] = {
      {"", 2, "Usage"},
      {"--help", 0, "compare"},
      {"version", 0, "fernward-lab "},
      {"play", 2, "no command \"play\""},
      {"run", 2, "expected exactly one scenario file, got 0"},
      {"run a b", 2, "expected exactly one scenario file, got 2"},
      {"run --speed 3 " + kFleetFile, 2, "speed"},
      {"run --driver wooden " + kFleetFile, 2, "virtual or sockets"},
      {"run --program x " + kFleetFile, 2, "--driver sockets"},
      {"run --seed x " + kFleetFile, 2, "\"x\" is not a valid number: expected the form 3, 1..8 or 1,4,9"},
      {"run --help", 0, "--seed"},
      {"sweep --seeds 5..2 " + kFleetFile, 2, "seeds 5..2"},
      {"sweep --vary rate " + kFleetFile, 2, "KEY=VALUE,VALUE"},
      {"compare " + kFleetFile, 2, "A and B are alike"},
      {"compare --program-a x " + kFleetFile, 2, "--driver sockets"},
      {"try --seconds 0.1", 2, "--seconds"},
      {"cost --rounds 0", 2, "--rounds"},
      {"cost --targets 14,some", 2, "\"some\" is not a valid number"},
      {"relay --listen 127.0.0.1:0", 2, "go together"},
      {"relay --listen nowhere --target 127.0.0.1:1", 1,
       "relay: \"nowhere\" is not an address of the form 127.0.0.1:8080"},
      {"check", 2, "no scenario"},
      {"check " + kFleetFile, 0, "sound"},
      {"check " + kSourceDir + "/scenarios/crowded-discovery.toml", 1, "is supported on sockets only"},
      {"check --driver sockets " + kSourceDir + "/scenarios/crowded-discovery.toml", 0, "sound"},
      {"run --driver sockets --set routers.sharing.on=true --set routers.groups[0].count=65 " + kFleetFile, 1,
       "64 can be played that share"},
      {"check " + kSourceDir + "/tests/corpus/lab/units.toml", 1,
       "units.toml:12:8: load.rate: has the wrong unit"},
      {"run /nowhere.toml", 1, "/nowhere.toml:1:1: (file): can't be read"},
      {"run --set load.rate=fast " + kFleetFile, 1, "load.rate: must be a rate"},
      {"sweep --vary load.rate=100/s,fast " + kFleetFile, 1, "load.rate: must be a rate"},
      {"run --driver sockets --set load.rate=30000/s " + kFleetFile, 1, "this machine can offer 20000/s"},
      {"report " + kFleetFile, 1, "fleet.toml"},
      {"keys", 0, "### Event `lost-zone`"},
  };
  for (const auto& c : cases) {
    CAPTURE(c.arguments);
    const CommandResult result = run_lab(c.arguments);
    INFO(result.output << result.error_output);
    CHECK(result.exit_code == c.code);
    CHECK(result.contains(c.expected_text));
  }
}

TEST_CASE("a saved run reproduces its results and report and a missed bound exits with 1") {
  const TemporaryFolder folder;
  const CommandResult good_run =
      run_lab("run --seed 7 --set duration=3s --out " + folder / "a" + " " + kFleetFile);
  INFO(good_run.output << good_run.error_output);
  CHECK(good_run.exit_code == 0);
  CHECK(good_run.contains("GOOD"));
  CHECK(good_run.contains("report: " + folder / "a/report.html"));
  // The saved scenario reproduces the same run.
  CHECK(run_lab("run --out " + folder / "b" + " " + folder / "a/scenario.toml").exit_code == 0);
  auto first_run = nlohmann::json::parse(read_file(folder / "a/run.json"));
  auto second_run = nlohmann::json::parse(read_file(folder / "b/run.json"));
  CHECK(first_run["seed"] == 7);
  CHECK(first_run["figures"] == second_run["figures"]);
  CHECK(first_run["findings"] == second_run["findings"]);

  fs::remove(folder / "a/report.html");
  CHECK(run_lab("report " + folder / "a/run.json").exit_code == 0);
  CHECK(read_file(folder / "a/report.html").find("<svg") != std::string::npos);
  const CommandResult without_gnuplot = run_lab("report " + folder / "a/run.json", "PATH=/nowhere");
  CHECK(without_gnuplot.exit_code == 0);
  CHECK(without_gnuplot.contains("it has no plots: gnuplot can't be started"));

  std::ofstream(folder / "strict.toml")
      << "base = \"" << kFleetFile
      << "\"\nduration = \"3s\"\n[[holds.bounds]]\nmetric = \"latency\"\nat_most = \"1ms\"\n";
  const CommandResult missed_bound = run_lab("run " + folder / "strict.toml");
  CHECK(missed_bound.exit_code == 1);
  CHECK(missed_bound.contains("MISSED"));
  CHECK(missed_bound.contains("BAD: 1 bound does not hold"));
}

TEST_CASE("a sweep is the same with one and four jobs and a comparison reports only real differences") {
  const TemporaryFolder folder;
  const std::string sweep = "sweep --set duration=2s --vary load.rate=100/s,300/s --seeds 1..3 ";
  const CommandResult one_job = run_lab(sweep + "--jobs 1 --out " + folder / "one" + " " + kFleetFile);
  const CommandResult four_jobs = run_lab(sweep + "--jobs 4 --out " + folder / "four" + " " + kFleetFile);
  INFO(one_job.output << one_job.error_output);
  CHECK(one_job.exit_code == 0);
  const std::string csv = read_file(folder / "one/sweep.csv");
  CHECK(csv == read_file(folder / "four/sweep.csv"));
  CHECK(csv.find("\"load.rate=100/s\",1,0,1,1,") < csv.find("\"load.rate=300/s\",3,0,1,1,"));
  CHECK(std::count(csv.begin(), csv.end(), '\n') == 7);

  const CommandResult worse_variant =
      run_lab("compare --set duration=3s --seeds 1..6 --set-b origin.time=900ms " + kFleetFile);
  INFO(worse_variant.output << worse_variant.error_output);
  CHECK(worse_variant.exit_code == 0);
  CHECK(worse_variant.contains("B is worse by the score"));
  const CommandResult same_variant =
      run_lab("compare --set duration=2s --seeds 1..4 --set-b routers.open_cap=19999 " + kFleetFile);
  CHECK(same_variant.contains("no difference seen by the score"));
  const CommandResult single_pair =
      run_lab("compare --set duration=2s --seeds 1 -b load.rate=300/s " + kFleetFile);
  CHECK(single_pair.contains("a single pair of runs shows no spread: use more seeds"));
}

TEST_CASE("the try command writes a report and with --keep leaves the fleet running until SIGINT") {
  const TemporaryFolder folder;
  const CommandResult result = run_lab("try --seconds 2 --unlimited-memory --out " + folder / "out");
  INFO(result.output << result.error_output);
  CHECK(result.contains("2 routers are ready"));
  CHECK(result.contains("served"));
  CHECK(result.contains("report: " + folder / "out/report.html"));
  // On a busy machine the rig may be late, which makes the run VOID; no rule may be broken.
  CHECK((result.exit_code == 0 || result.contains("VOID")));
  CHECK_FALSE(result.contains("BROKEN"));

  const std::string output_path = folder / "kept";
  const pid_t child = fork();
  if (child == 0) {
    dup2(open(output_path.c_str(), O_WRONLY | O_CREAT, 0600), STDOUT_FILENO);
    execl(FERNWARD_LAB, FERNWARD_LAB, "try", "--seconds", "1", "--keep", "--unlimited-memory", "--out",
          (folder / "again").c_str(), nullptr);
    _exit(127);
  }
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(60);
  while (read_file(output_path).find("curl -i") == std::string::npos &&
         std::chrono::steady_clock::now() < deadline) {
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  const std::string output = read_file(output_path);
  const std::size_t url_position = output.find("http://");
  REQUIRE(url_position != std::string::npos);
  const std::string address =
      output.substr(url_position + 7, output.find('/', url_position + 7) - url_position - 7);
  CHECK(address.starts_with("127."));
  // A raw request through the sockets of bash, as curl would send it.
  const std::string client_command =
      "bash -c 'exec 3<>/dev/tcp/" + address.substr(0, address.find(':')) + "/" +
      address.substr(address.find(':') + 1) +
      "; printf \"GET /api/7f3a9c21 HTTP/1.1\\r\\nHost: x\\r\\nX-Request-ID: 77\\r\\n"
      "X-Priority-Class: lookup\\r\\nX-Tenant-Id: harbour\\r\\nX-Timeout-Ms: 2000\\r\\n\\r\\n\" >&3; "
      "head -n 1 <&3' >" +
      folder / "answer";
  CHECK(std::system(client_command.c_str()) == 0);
  CHECK(read_file(folder / "answer").starts_with("HTTP/1.1 200"));
  kill(child, SIGINT);
  int status = 0;
  waitpid(child, &status, 0);
  CHECK(WIFEXITED(status));
  CHECK(fs::exists(folder / "again/report.html"));
}
