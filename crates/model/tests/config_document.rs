//! Validation errors of the configuration document, and selectors.

use fieldhook_model::config::{ConfigDocument, ConfigError};
use fieldhook_model::labels::{Labels, Operator, Requirement, Selector};

#[test]
fn errors_name_the_location_and_the_remedy() {
    let unknown = ConfigDocument::parse("[[rules]]\nname = \"a\"\ncolour = 1\n").unwrap_err();
    assert!(unknown.to_string().contains("line 3"), "{unknown}");
    assert!(unknown.to_string().contains("remedy"), "{unknown}");
    let duplicate = "[[rules]]\nname = \"a\"\n[[rules]]\nname = \"a\"\n";
    assert_eq!(
        ConfigDocument::parse(duplicate),
        Err(ConfigError::DuplicateRule("a".to_owned()))
    );
    let priority = ConfigDocument::parse("[[rules]]\nname = \"a\"\npriority = 101\n");
    assert!(matches!(
        priority,
        Err(ConfigError::Priority { value: 101, .. })
    ));
    let values = "[[rules]]\nname = \"a\"\nprograms = [{ key = \"x\", operator = \"in\" }]\n";
    assert!(matches!(
        ConfigDocument::parse(values),
        Err(ConfigError::Requirement { .. })
    ));
}

#[test]
fn requirements_compare_labels() {
    let labels = Labels::from([("app".to_owned(), "checkout".to_owned())]);
    let requirement = |key: &str, operator, values: &[&str]| Requirement {
        key: key.to_owned(),
        operator,
        values: values.iter().map(|value| (*value).to_owned()).collect(),
    };
    let cases = [
        (requirement("app", Operator::In, &["checkout", "x"]), true),
        (requirement("app", Operator::In, &["x"]), false),
        (requirement("app", Operator::NotIn, &["x"]), true),
        (requirement("none", Operator::NotIn, &["x"]), true),
        (requirement("app", Operator::Exists, &[]), true),
        (requirement("none", Operator::Exists, &[]), false),
        (requirement("none", Operator::DoesNotExist, &[]), true),
    ];
    for (requirement, expected) in cases {
        assert_eq!(requirement.matches(&labels), expected, "{requirement:?}");
    }
    assert!(Selector::default().matches(&labels));
}
