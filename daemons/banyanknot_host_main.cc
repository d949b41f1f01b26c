#include <gflags/gflags.h>

#include <cstdio>

#include "host_application.h"
#include "host_settings.h"

DEFINE_string(settings, "", "file with the settings of this host, in JSON");
DEFINE_bool(check_settings, false, "check the settings file and exit");

int main(int argc, char** argv) {
  gflags::SetUsageMessage("Serves queries over many shards.");
  gflags::SetVersionString(BANYANKNOT_VERSION);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const banyanknot::daemons::HostSettingsResult settings =
      banyanknot::daemons::ReadHostSettings(FLAGS_settings);
  if (!banyanknot::state::IsOk(settings)) {
    for (const banyanknot::coordination::EntryFault& fault :
         banyanknot::state::ErrorOf(settings)) {
      std::fprintf(stderr, "%s:%s: %s\n", FLAGS_settings.c_str(),
                   fault.pointer.c_str(), fault.reason.c_str());
    }
    return 2;
  }
  if (FLAGS_check_settings) return 0;
  return banyanknot::daemons::HostApplication(
             banyanknot::state::ValueOf(settings))
      .Run();
}
