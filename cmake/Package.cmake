# One package: a static library fernward_NAME of the sources beside its CMakeLists.txt, included by its folder's name.
function(fernward_package name)
  cmake_parse_arguments(package "" "" "SOURCES;PUBLIC;PRIVATE" ${ARGN})
  add_library(fernward_${name} STATIC ${package_SOURCES})
  target_include_directories(fernward_${name} PUBLIC $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}/src>)
  target_compile_features(fernward_${name} PUBLIC cxx_std_20)
  target_link_libraries(fernward_${name}
    PUBLIC ${package_PUBLIC} PRIVATE ${package_PRIVATE} $<BUILD_INTERFACE:fernward_options>)
endfunction()
