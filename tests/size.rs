//! Holds the decision module to its size: what is too long to read is not understood in the night.

const MODULE: &str = include_str!("../src/routing/router.rs");

#[test]
fn the_module_stays_small() {
    let lines = MODULE.lines().filter(|line| !line.trim().is_empty()).count();
    assert!(lines <= 650, "src/routing/router.rs has {lines} lines that are not blank, of 650 at most");
}

#[test]
fn its_lines_stay_narrow() {
    for (at, line) in MODULE.lines().enumerate() {
        let width = line.chars().count();
        assert!(width <= 110, "line {} of src/routing/router.rs has {width} columns, of 110 at most", at + 1);
    }
}
